// Stand-ins and process control for the review's scripts: the platform's store, endpoints, clients and the nodes, which run as
// separate processes with the command and the settings template of the deploy file. Loopback addresses and the real clock only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

using SteadyClock = std::chrono::steady_clock;

inline double now()
{
    static const auto start = SteadyClock::now();
    return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

//! Writes the lines of record.txt with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        if (m_file != nullptr) {
            std::fprintf(m_file, "%9.3f %s\n", now(), text);
            std::fflush(m_file);
        }
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto at = [&](std::size_t k) { return k < bytes.size() ? static_cast<unsigned char>(bytes[k]) : 0U; };
        const unsigned group = (at(i) << 16U) | (at(i + 1) << 8U) | at(i + 2);
        text += digits[group >> 18U];
        text += digits[(group >> 12U) & 63U];
        text += i + 1 < bytes.size() ? digits[(group >> 6U) & 63U] : '=';
        text += i + 2 < bytes.size() ? digits[group & 63U] : '=';
    }
    return text;
}

// Sockets

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = socketAddress(ip, port);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(socket, 1024) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

inline void noDelay(int socket)
{
    const int yes = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

inline int connectTo(const std::string &ip, int port, double timeout = 1)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = socketAddress(ip, port);
    int result = ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (result != 0 && errno == EINPROGRESS) {
        pollfd wait{socket, POLLOUT, 0};
        int error = ETIMEDOUT;
        socklen_t size = sizeof error;
        if (::poll(&wait, 1, static_cast<int>(timeout * 1000)) == 1) {
            getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        result = error;
    }
    if (result != 0) {
        ::close(socket);
        return -1;
    }
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    noDelay(socket);
    return socket;
}

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

//! Whether the other end has closed the connection or sent something.
inline bool hasInput(int socket, int milliseconds)
{
    pollfd wait{socket, POLLIN, 0};
    return ::poll(&wait, 1, milliseconds) == 1;
}

//! Reads of a connection with a deadline.
class Reader
{
public:
    explicit Reader(int socket)
        : m_socket(socket)
    {
    }
    //! Returns false at the end of the stream, after an error or when the time is over.
    bool fill(double deadline)
    {
        const double left = deadline - now();
        if (left <= 0 || !hasInput(m_socket, std::max(1, static_cast<int>(left * 1000)))) {
            m_timedOut = true;
            return false;
        }
        char bytes[65536];
        const ssize_t size = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (size <= 0) {
            m_wasReset = size < 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    //! Returns the head including the empty line, or nothing.
    std::string head(double deadline)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return {};
            }
        }
        return take(end + 4);
    }
    bool exactly(std::size_t size, std::string &into, double deadline)
    {
        while (m_buffer.size() < size) {
            if (!fill(deadline)) {
                return false;
            }
        }
        into += take(size);
        return true;
    }
    bool hasRest() const
    {
        return !m_buffer.empty();
    }
    std::string rest()
    {
        return take(m_buffer.size());
    }
    bool timedOut() const
    {
        return m_timedOut;
    }
    bool wasReset() const
    {
        return m_wasReset;
    }

private:
    std::string take(std::size_t size)
    {
        std::string taken = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return taken;
    }
    int m_socket;
    std::string m_buffer;
    bool m_timedOut = false;
    bool m_wasReset = false;
};

struct Message
{
    std::string first;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const char *name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return {};
    }
    bool has(const char *name) const
    {
        return std::any_of(fields.begin(), fields.end(), [&](const auto &f) { return strcasecmp(f.first.c_str(), name) == 0; });
    }
    std::string word(int index) const
    {
        std::istringstream words(first);
        std::string word;
        for (int i = 0; i <= index; ++i) {
            word.clear();
            words >> word;
        }
        return word;
    }
};

inline Message parseHead(const std::string &head)
{
    Message message;
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (message.first.empty()) {
            message.first = line;
            continue;
        }
        if (const auto colon = line.find(':'); colon != std::string::npos) {
            const auto begin = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), begin == std::string::npos ? "" : line.substr(begin));
        }
    }
    return message;
}

inline bool readHead(Reader &reader, Message &message, double deadline)
{
    const std::string head = reader.head(deadline);
    if (head.empty()) {
        return false;
    }
    message = parseHead(head);
    return true;
}

//! Reads a body with a length or in chunks. Returns false if it is not whole.
inline bool readBody(Reader &reader, Message &message, double deadline)
{
    if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::string line;
            while (line.size() < 2 || line.substr(line.size() - 2) != "\r\n") {
                if (!reader.exactly(1, line, deadline)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            std::string chunk;
            if (!reader.exactly(size + 2, chunk, deadline)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
            message.body += chunk.substr(0, size);
        }
    }
    return reader.exactly(std::strtoul(message.field("Content-Length").c_str(), nullptr, 10), message.body, deadline);
}

inline bool readMessage(Reader &reader, Message &message, double deadline)
{
    return readHead(reader, message, deadline) && readBody(reader, message, deadline);
}

//! A server with a thread for each connection. The handler returns whether the connection is kept.
class Server
{
public:
    using Handler = std::function<bool(int socket, Reader &reader, const Message &request)>;

    //! `longHandler` gets the requests with a body of over 1 MiB before their bodies are read; the connection ends with it.
    Server(const std::string &ip, int port, Handler handler, Handler longHandler = nullptr)
        : m_listener(listenOn(ip, port))
        , m_handler(std::move(handler))
        , m_longHandler(std::move(longHandler))
    {
        if (m_listener < 0) {
            std::fprintf(stderr, "cannot listen on %s:%d\n", ip.c_str(), port);
            std::_Exit(2);
        }
        std::thread([this] { accept(); }).detach();
    }
    //! Ends the server like a process that exits: its port refuses connections and those that are open are closed.
    void stop()
    {
        m_isStopped = true;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_open) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }

private:
    void accept()
    {
        while (!m_isStopped) {
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                sleepFor(0.01);
                continue;
            }
            noDelay(socket);
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }
    void serve(int socket)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(socket);
        }
        Reader reader(socket);
        Message request;
        while (!m_isStopped) {
            const double deadline = now() + 120;
            if (!readHead(reader, request, deadline)) {
                break;
            }
            if (m_longHandler && std::strtoul(request.field("Content-Length").c_str(), nullptr, 10) > longBodyBytes) {
                m_longHandler(socket, reader, request);
                break;
            }
            if (!readBody(reader, request, deadline)) {
                break;
            }
            const bool isLast = strcasecmp(request.field("Connection").c_str(), "close") == 0;
            if (!m_handler(socket, reader, request) || isLast) {
                break;
            }
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(socket);
        ::close(socket);
    }
    static constexpr std::size_t longBodyBytes = 1024 * 1024;
    int m_listener;
    Handler m_handler;
    Handler m_longHandler;
    std::atomic<bool> m_isStopped{false};
    std::mutex m_mutex;
    std::set<int> m_open;
};

//! A response to a client's request.
struct Answer
{
    int status = 0; //!< 0: no whole answer.
    bool isConnected = false;
    Message message;
    double at = 0;
};

inline std::string requestText(const std::string &method,
                               const std::string &path,
                               const std::string &host,
                               const std::string &id,
                               int deadlineMilliseconds,
                               const std::string &more = "",
                               const std::string &body = "")
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
    if (!id.empty()) {
        text += "Request-Id: " + id + "\r\nDeadline-Milliseconds: " + std::to_string(deadlineMilliseconds) + "\r\n";
    }
    text += more;
    if (!body.empty() || method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

//! Sends one request on a new connection and waits for the answer.
inline Answer exchange(const std::string &ip, int port, const std::string &request, double timeout)
{
    Answer answer;
    const int socket = connectTo(ip, port);
    if (socket < 0) {
        answer.at = now();
        return answer;
    }
    answer.isConnected = true;
    Reader reader(socket);
    if (sendAll(socket, request) && readMessage(reader, answer.message, now() + timeout)) {
        answer.status = std::atoi(answer.message.word(1).c_str());
    }
    answer.at = now();
    ::close(socket);
    return answer;
}

//! The platform's metadata store: range reads and watches.
class Store
{
public:
    Store(std::string ip, int port)
        : m_server(ip, port, [this](int socket, Reader &, const Message &request) { return handle(socket, request); })
    {
    }
    //! Returns when the store has accepted the item.
    double put(const std::string &key, const std::string &value)
    {
        const std::string encoded = base64(value);
        const std::lock_guard lock(m_mutex);
        m_items[key] = {encoded, ++m_revision};
        change({m_revision, key, encoded, false, now()});
        return now();
    }
    double remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_items.erase(key);
        change({++m_revision, key, {}, true, now()});
        return now();
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string key;
        std::string value;
        bool isRemoved = false;
        double at = 0;
    };
    static constexpr double historySeconds = 20;

    void change(Change change)
    {
        m_changes.push_back(std::move(change));
        while (m_changes.front().at < now() - historySeconds) {
            m_forgotten = m_changes.front().revision;
            m_changes.pop_front();
        }
        m_changed.notify_all();
    }
    static std::string parameter(const std::string &target, const std::string &name)
    {
        const auto question = target.find('?');
        std::istringstream parts(question == std::string::npos ? "" : target.substr(question + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.rfind(name + "=", 0) == 0) {
                std::string value;
                for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                    if (part[i] == '%' && i + 2 < part.size()) {
                        value += static_cast<char>(std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
                        i += 2;
                    } else {
                        value += part[i];
                    }
                }
                return value;
            }
        }
        return {};
    }
    static bool respond(int socket, int status, const std::string &body)
    {
        return sendAll(socket,
                       "HTTP/1.1 " + std::to_string(status)
                           + " x\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    static std::string itemText(const std::string &key, const std::string &value, std::uint64_t revision)
    {
        return R"({"key":")" + key + R"(","value":")" + value + R"(","revision":)" + std::to_string(revision) + R"(,"created":)"
            + std::to_string(revision) + R"(,"lease":0})";
    }
    bool handle(int socket, const Message &request)
    {
        const std::string target = request.word(1);
        sleepFor(0.004);
        if (target.rfind("/kv-range?", 0) == 0) {
            return range(socket, parameter(target, "prefix"), parameter(target, "after"));
        }
        if (target.rfind("/kv-watch?", 0) == 0) {
            return watch(socket,
                         parameter(target, "prefix"),
                         std::strtoull(parameter(target, "after").c_str(), nullptr, 10),
                         std::atof(parameter(target, "wait_ms").c_str()) / 1000);
        }
        return respond(socket, 404, "{}");
    }
    bool range(int socket, const std::string &prefix, const std::string &after)
    {
        std::string items;
        std::string revision;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[key, item] : m_items) {
                if (key.rfind(prefix, 0) == 0 && key > after) {
                    items += (items.empty() ? "" : ",") + itemText(key, item.value, item.revision);
                }
            }
            revision = std::to_string(m_revision);
        }
        return respond(socket, 200, R"({"items":[)" + items + R"(],"has_more":false,"store_revision":)" + revision + "}");
    }
    bool watch(int socket, const std::string &prefix, std::uint64_t after, double wait)
    {
        const double deadline = now() + std::min(wait, 30.0);
        std::string events;
        std::string revision;
        {
            std::unique_lock lock(m_mutex);
            while (true) {
                if (after < m_forgotten) {
                    lock.unlock();
                    return respond(socket, 410, "{}");
                }
                for (const Change &change : m_changes) {
                    if (change.revision <= after || change.key.rfind(prefix, 0) != 0) {
                        continue;
                    }
                    events += events.empty() ? "" : ",";
                    events += change.isRemoved
                        ? R"({"key":")" + change.key + R"(","revision":)" + std::to_string(change.revision) + R"(,"deleted":true})"
                        : itemText(change.key, change.value, change.revision);
                }
                revision = std::to_string(m_revision);
                if (!events.empty() || now() >= deadline) {
                    break;
                }
                m_changed.wait_for(lock, std::chrono::duration<double>(deadline - now()));
            }
        }
        return respond(socket, 200, R"({"events":[)" + events + R"(],"store_revision":)" + revision + "}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Change> m_changes;
    std::uint64_t m_revision = 10;
    std::uint64_t m_forgotten = 0;
    Server m_server;
};

//! A route of the configuration.
struct Route
{
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind = "idempotent";
    double timeout = 5;
    int attempts = 2;
    double target = 1.5;
    int priority = 1;
};

inline std::string configurationText(int version,
                                     const std::string &host,
                                     const std::vector<Route> &routes,
                                     const std::vector<std::string> &services,
                                     const std::string &routesOfOtherHosts = "")
{
    std::ostringstream text;
    text << R"({"version":)" << version << R"(,"listeners":[{"host":")" << host << R"(","rules":[)";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const Route &r = routes[i];
        text << (i == 0 ? "" : ",") << R"({"name":")" << r.name << R"(","kind":")" << r.kind << R"(","target_latency_s":)" << r.target
             << R"(,"priority":)" << r.priority << R"(,"match":{"prefix":")" << r.prefix << R"("},"action":{"service":")" << r.service
             << R"(","timeout_s":)" << r.timeout << R"(,"attempts":)" << r.attempts << "}}";
    }
    text << "]}" << routesOfOtherHosts << R"(],"clusters":[)";
    for (std::size_t i = 0; i < services.size(); ++i) {
        text << (i == 0 ? "" : ",") << R"({"name":")" << services[i] << R"(","health_check_path":"/health","connection_limit":800})";
    }
    text << R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}})";
    return text.str();
}

// Nodes

struct Ports
{
    int callers, ready, peers, operators, application, store;
};

//! A machine: the node beside an endpoint. The endpoint itself belongs to the case.
struct Machine
{
    std::string ip;
    std::string service;
    std::string zone;
    std::string id;
    std::string storeAddress;
    pid_t pid = -1;
    int born = 0;
    std::uint64_t sequence = 0;
};

inline std::string readText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

inline void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

//! A small deployment on addresses 127.A.B.x with free ports.
class Deployment
{
public:
    Deployment(std::string root, Record &record)
        : m_root(std::move(root))
        , m_record(record)
    {
        std::random_device random;
        net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        char name[] = "/tmp/review-XXXXXX";
        m_folder = mkdtemp(name);
        for (int attempt = 0; attempt < 100; ++attempt) {
            const int base = 20000 + static_cast<int>(random() % 10000);
            ports = {base, base + 1, base + 2, base + 3, base + 4, base + 5};
            bool areFree = true;
            for (int port = base; port < base + 6; ++port) {
                const int socket = listenOn(net + "1", port);
                areFree = areFree && socket >= 0;
                ::close(socket);
            }
            if (areFree) {
                return;
            }
        }
        std::_Exit(2);
    }
    ~Deployment()
    {
        stopAll();
        const std::string command = "rm -rf " + m_folder;
        static_cast<void>(std::system(command.c_str()));
    }
    std::string address(int number) const
    {
        return net + std::to_string(number);
    }
    std::string storeAddress() const
    {
        return net + "250:" + std::to_string(ports.store);
    }

    //! Starts the node of a machine with the deploy file's command. Its output goes to a file, or to `outputTo` if set.
    void start(Machine &machine, int outputTo = -1)
    {
        const std::string settings = m_folder + "/" + machine.ip + ".ini";
        std::string text = readText(m_root + "/deploy/node.ini");
        const std::map<std::string, std::string> fields = {
            {"ip_address", machine.ip},
            {"service", machine.service},
            {"zone", machine.zone},
            {"listen_addresses.outbound", machine.ip + ":" + std::to_string(ports.callers)},
            {"listen_addresses.ready", machine.ip + ":" + std::to_string(ports.ready)},
            {"internal_port_range.0", std::to_string(ports.peers)},
            {"internal_port_range.1", std::to_string(ports.operators)},
            {"application_address", machine.ip + ":" + std::to_string(ports.application)},
            {"platform.address", machine.storeAddress.empty() ? storeAddress() : machine.storeAddress},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.budget_slack", "50"},
            {"bounds.budget_window_s", "10"},
            {"bounds.grace_period_s", "6"}};
        for (const auto &[name, value] : fields) {
            replaceAll(text, "{{" + name + "}}", value);
        }
        std::ofstream(settings) << text;
        std::string command = readText(m_root + "/deploy/system.toml");
        const auto begin = command.find("run = \"") + 7;
        command = command.substr(begin, command.find('"', begin) - begin);
        std::istringstream words(command);
        std::vector<std::string> arguments;
        for (std::string word; words >> word;) {
            arguments.push_back(word.rfind("/etc/", 0) == 0 ? settings : word);
        }
        std::vector<char *> argv;
        for (std::string &argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        const std::string log = m_folder + "/" + machine.ip + ".log";
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = outputTo >= 0 ? outputTo : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, 1);
            dup2(output, 2);
            if (chdir(m_root.c_str()) == 0) {
                execv(argv[0], argv.data());
            }
            _exit(127);
        }
        machine.pid = pid;
        {
            const std::lock_guard lock(m_mutex);
            m_pids.insert(pid);
        }
        m_record.line("node of %s (%s) started, pid %d", machine.ip.c_str(), machine.service.c_str(), pid);
    }
    //! Sends a signal; for SIGKILL waits for the end.
    void signal(Machine &machine, int number)
    {
        if (machine.pid > 0) {
            ::kill(machine.pid, number);
            if (number == SIGKILL) {
                waitpid(machine.pid, nullptr, 0);
                const std::lock_guard lock(m_mutex);
                m_pids.erase(machine.pid);
                machine.pid = -1;
            }
        }
    }
    void stopAll()
    {
        const std::lock_guard lock(m_mutex);
        for (const pid_t pid : m_pids) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        m_pids.clear();
    }
    std::string log(const Machine &machine) const
    {
        return readText(m_folder + "/" + machine.ip + ".log");
    }
    bool isReady(const Machine &machine) const
    {
        return exchange(machine.ip, ports.ready, "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1).status == 200;
    }
    //! Resident memory of the node in MiB.
    static double memoryOf(const Machine &machine)
    {
        const std::string status = readText("/proc/" + std::to_string(machine.pid) + "/status");
        const auto at = status.find("VmRSS:");
        return at == std::string::npos ? 0 : std::atof(status.c_str() + at + 6) / 1024;
    }

    std::string net;
    Ports ports{};

private:
    std::string m_root;
    Record &m_record;
    std::string m_folder;
    std::mutex m_mutex;
    std::set<pid_t> m_pids;
};

//! Writes the entry of an endpoint, as it does about every heartbeat interval.
inline double writeEntry(Store &store, Machine &machine, const Ports &ports, int slots, const char *state = "ready")
{
    const std::string value = R"({"service":")" + machine.service + R"(","address":")" + machine.ip + ":"
        + std::to_string(ports.application) + R"(","zone":")" + machine.zone + R"(","version":"v1","slots":)" + std::to_string(slots)
        + R"(,"state":")" + state + R"(","cold_remaining_s":0,"sequence":)" + std::to_string(++machine.sequence) + R"(,"born":)"
        + std::to_string(1760000000000 + machine.born) + "}";
    return store.put("servers/" + machine.id, value);
}

//! Whether the disruption is to be caused: TROUBLE=0 in the environment switches it off.
inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

//! Ends the process without waiting for the threads of connections.
[[noreturn]] inline void finish(Deployment &deployment, int code)
{
    deployment.~Deployment();
    std::fflush(nullptr);
    std::_Exit(code);
}

} // namespace world
