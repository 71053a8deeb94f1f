// Parts of the stand-ins of this review: messages of HTTP/1.1, the platform's store, a relay in front of it, endpoints and clients.
// Blocking sockets and one thread a connection: the loads are small.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace world {

using SteadyClock = std::chrono::steady_clock;

inline SteadyClock::time_point origin()
{
    static const SteadyClock::time_point start = SteadyClock::now();
    return start;
}

//! Seconds since the start of this program.
inline double now()
{
    return std::chrono::duration<double>(SteadyClock::now() - origin()).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleepUntil(double at)
{
    sleepFor(at - now());
}

//! Writes lines with their time to record.txt.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "a"))
    {
        if (m_file == nullptr) {
            std::exit(2);
        }
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.3f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

inline sockaddr_in addressOf(const std::string &host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &host, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(host, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(fd, 1024) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline int connectTo(const std::string &host, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(host, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

struct Message
{
    std::string firstLine;
    std::map<std::string, std::string> fields; // Names in lower case.
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    int status() const
    {
        return firstLine.size() > 12 ? std::atoi(firstLine.c_str() + 9) : 0;
    }
    std::string target() const
    {
        const auto first = firstLine.find(' ');
        const auto second = firstLine.find(' ', first + 1);
        return first == std::string::npos || second == std::string::npos ? "" : firstLine.substr(first + 1, second - first - 1);
    }
};

enum class ReadResult {
    Whole,
    Closed, //!< The connection ended before the first byte of a message.
    Cut, //!< It ended within a message.
    TimedOut,
};

//! Reads messages from a socket. Bodies have a length, as the nodes and these stand-ins send them.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }
    //! `deadline` is a time as now() returns it.
    ReadResult read(Message &message, double deadline)
    {
        message = {};
        std::size_t end = std::string::npos;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (const ReadResult result = receive(deadline); result != ReadResult::Whole) {
                return result;
            }
        }
        parseHead(message, m_bytes.substr(0, end));
        const std::size_t length = std::strtoull(message.field("content-length").c_str(), nullptr, 10);
        while (m_bytes.size() < end + 4 + length) {
            if (const ReadResult result = receive(deadline); result != ReadResult::Whole) {
                return result == ReadResult::Closed ? ReadResult::Cut : result;
            }
        }
        message.body = m_bytes.substr(end + 4, length);
        m_bytes.erase(0, end + 4 + length);
        return ReadResult::Whole;
    }

private:
    ReadResult receive(double deadline)
    {
        pollfd waiting{m_fd, POLLIN, 0};
        const double left = deadline - now();
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1000) + 1) == 0) {
            return ReadResult::TimedOut;
        }
        char buffer[65536];
        const ssize_t size = recv(m_fd, buffer, sizeof buffer, 0);
        if (size <= 0) {
            return m_bytes.empty() ? ReadResult::Closed : ReadResult::Cut;
        }
        m_bytes.append(buffer, static_cast<std::size_t>(size));
        return ReadResult::Whole;
    }

    static void parseHead(Message &message, const std::string &head)
    {
        std::size_t at = head.find("\r\n");
        message.firstLine = head.substr(0, at);
        while (at != std::string::npos) {
            const std::size_t begin = at + 2;
            at = head.find("\r\n", begin);
            const std::string field = head.substr(begin, at == std::string::npos ? at : at - begin);
            const std::size_t colon = field.find(':');
            std::string name = field.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const std::size_t value = colon == std::string::npos ? colon : field.find_first_not_of(' ', colon + 1);
            message.fields[name] = value == std::string::npos ? "" : field.substr(value);
        }
    }

    int m_fd;
    std::string m_bytes;
};

inline std::string response(int status, const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

//! Accepts connections and runs a handler on a thread for each. stop() closes the listening socket and all connections.
class Server
{
public:
    using Handler = std::function<void(int fd)>;

    Server(std::string host, int port, Handler handler)
        : m_handler(std::move(handler))
        , m_listener(listenOn(host, port))
    {
        if (m_listener < 0) {
            std::fprintf(stderr, "cannot listen on %s:%d\n", host.c_str(), port);
            std::exit(2);
        }
        std::thread([this] { accept(); }).detach();
    }
    void stop()
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        shutdown(m_listener, SHUT_RDWR);
        close(m_listener);
        for (const int fd : m_open) {
            shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void accept()
    {
        while (true) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                const std::lock_guard lock(m_mutex);
                if (m_isStopped) {
                    return;
                }
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] {
                m_handler(fd);
                const std::lock_guard lock(m_mutex);
                m_open.erase(fd);
                close(fd);
            }).detach();
        }
    }

    Handler m_handler;
    int m_listener;
    std::mutex m_mutex;
    std::set<int> m_open;
    bool m_isStopped = false;
};

inline std::string base64(const std::string &bytes)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63U];
        }
    }
    return text;
}

//! The platform's store: /kv-range and /kv-watch. All history is kept.
class Store
{
public:
    Store(const std::string &host, int port)
        : m_server(host, port, [this](int fd) { serve(fd); })
    {
    }
    //! Serves the same items at another address as well.
    void serveAlsoAt(const std::string &host, int port)
    {
        m_otherServer = std::make_unique<Server>(host, port, [this](int fd) { serve(fd); });
    }
    //! Stops serving at the first address.
    void leaveFirstAddress()
    {
        m_server.stop();
    }
    //! The change is accepted when this returns.
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t created = m_items.count(key) != 0 ? m_items[key].created : m_revision + 1;
        m_items[key] = {value, ++m_revision, created};
        m_history.push_back({m_revision, key, event(key)});
        m_changed.notify_all();
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_items.erase(key);
        const std::uint64_t revision = ++m_revision;
        m_history.push_back({revision, key, "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(revision) + ",\"deleted\":true}"});
        m_changed.notify_all();
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string key;
        std::string text;
    };

    std::string event(const std::string &key) const
    {
        const Item &item = m_items.at(key);
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(item.value) + "\",\"revision\":" + std::to_string(item.revision)
            + ",\"created\":" + std::to_string(item.created) + ",\"lease\":0}";
    }

    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        if (at == std::string::npos) {
            return "";
        }
        const std::size_t begin = at + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request, now() + 3600) == ReadResult::Whole) {
            sleepFor(0.004);
            const std::string target = request.target();
            const std::string body = target.rfind("/kv-range", 0) == 0 ? range(target) : watch(target);
            if (!sendAll(fd, response(200, {{"Content-Type", "application/json"}}, body))) {
                return;
            }
        }
    }

    std::string range(const std::string &target)
    {
        const std::lock_guard lock(m_mutex);
        const std::string prefix = query(target, "prefix");
        std::string items;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) == 0 && key > query(target, "after")) {
                items += (items.empty() ? "" : ",") + event(key);
            }
        }
        return "{\"items\":[" + items + "],\"has_more\":false,\"store_revision\":" + std::to_string(m_revision) + "}";
    }

    std::string watch(const std::string &target)
    {
        std::unique_lock lock(m_mutex);
        const std::string prefix = query(target, "prefix");
        const std::uint64_t after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
        const auto wait = std::chrono::milliseconds(std::atoi(query(target, "wait_ms").c_str()));
        std::string events;
        const auto collect = [&] {
            events.clear();
            for (const Change &change : m_history) {
                if (change.revision > after && change.key.rfind(prefix, 0) == 0) {
                    events += (events.empty() ? "" : ",") + change.text;
                }
            }
            return !events.empty();
        };
        m_changed.wait_for(lock, wait, collect);
        return "{\"events\":[" + events + "],\"store_revision\":" + std::to_string(m_revision) + "}";
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 100;
    std::unique_ptr<Server> m_otherServer;
    Server m_server;
};

//! Passes connections on to another address. silence() makes all open connections go silent for good, without a reset: what is sent on
//! them from then on is lost. Connections that are opened later work.
class Relay
{
public:
    Relay(const std::string &host, int port, std::string targetHost, int targetPort)
        : m_targetHost(std::move(targetHost))
        , m_targetPort(targetPort)
        , m_server(host, port, [this](int fd) { pass(fd); })
    {
    }
    //! Returns the number of connections that went silent.
    int silence()
    {
        return m_open[m_generation++ % m_open.size()];
    }

private:
    void pass(int client)
    {
        const int generation = m_generation;
        std::atomic<int> &open = m_open[static_cast<std::size_t>(generation) % m_open.size()];
        const int target = connectTo(m_targetHost, m_targetPort);
        if (target < 0) {
            return;
        }
        ++open;
        char buffer[65536];
        while (true) {
            const bool isSilent = m_generation != generation;
            pollfd waiting[2] = {{client, POLLIN, 0}, {isSilent ? -1 : target, POLLIN, 0}};
            poll(waiting, 2, 50);
            bool isEnded = false;
            for (int i = 0; i < 2; ++i) {
                if (waiting[i].fd < 0 || waiting[i].revents == 0) {
                    continue;
                }
                const ssize_t size = recv(waiting[i].fd, buffer, sizeof buffer, 0);
                if (size <= 0) {
                    isEnded = true;
                } else if (m_generation == generation) {
                    isEnded = !sendAll(i == 0 ? target : client, std::string(buffer, static_cast<std::size_t>(size)));
                }
            }
            if (isEnded) {
                break;
            }
        }
        --open;
        close(target);
    }

    std::string m_targetHost;
    int m_targetPort;
    std::atomic<int> m_generation{0};
    std::array<std::atomic<int>, 64> m_open{};
    Server m_server;
};

//! What an endpoint has run.
struct Run
{
    std::string request;
    std::string endpoint;
    double at = 0;
    bool isFinished = false;
    double endedAt = 0;
};

//! An application endpoint. It registers itself in the store, and again every 1.5 s.
class Endpoint
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone;
        std::string host;
        int port = 0;
        int slots = 30;
        double workSeconds = 0.05;
        std::string version = "v1";
        //! Fields of 50 bytes that each answer has besides the usual ones.
        int moreFields = 0;
    };

    Endpoint(Options options, Store &store, Record &record)
        : m_options(std::move(options))
        , m_store(store)
        , m_record(record)
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_server(m_options.host, m_options.port, [this](int fd) { serve(fd); })
    {
        write();
        std::thread([this] {
            while (true) {
                sleepFor(1.5);
                write();
            }
        }).detach();
    }
    //! Reports that it leaves; the store has accepted that when this returns. It goes on serving.
    double drain()
    {
        m_state = "draining";
        write();
        return now();
    }
    //! Ends with everything that it has in work. The store removes the entry.
    void end()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isEnded = true;
        }
        m_server.stop();
        m_store.remove("servers/" + m_options.id);
    }
    //! Work takes so many times as long from now on.
    void setSlowness(double times)
    {
        m_slowness = times;
    }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    const Options &options() const
    {
        return m_options;
    }
    static std::string bodyOf(const std::string &request)
    {
        return "the whole answer to " + request;
    }

private:
    void write()
    {
        const std::lock_guard lock(m_mutex);
        if (m_isEnded) {
            return;
        }
        m_store.put("servers/" + m_options.id,
                    "{\"service\":\"" + m_options.service + "\",\"address\":\"" + m_options.host + ":" + std::to_string(m_options.port)
                        + "\",\"zone\":\"" + m_options.zone + "\",\"version\":\"" + m_options.version + "\",\"slots\":"
                        + std::to_string(m_options.slots) + ",\"state\":\"" + m_state + "\",\"cold_remaining_s\":0,\"sequence\":"
                        + std::to_string(++m_sequence) + ",\"born\":" + std::to_string(m_born) + "}");
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request, now() + 3600) == ReadResult::Whole) {
            const std::string id = request.field("request-id");
            const std::string expected = request.field("expected-instance");
            if (!expected.empty() && expected != m_options.id) {
                if (!sendAll(fd, response(421, {{"Not-Executed", "1"}, {"Request-Id", id}, {"Instance-Id", m_options.id}}, ""))) {
                    return;
                }
                continue;
            }
            std::size_t run = 0;
            bool isFull = false;
            {
                const std::lock_guard lock(m_mutex);
                if (m_isEnded) {
                    return;
                }
                isFull = m_inWork >= m_options.slots;
                if (!isFull) {
                    ++m_inWork;
                    run = m_runs.size();
                    m_runs.push_back({id, m_options.id, now()});
                }
            }
            if (isFull) {
                if (!sendAll(fd, response(503, {{"Not-Executed", "1"}, {"Request-Id", id}}, ""))) {
                    return;
                }
                continue;
            }
            m_record.line("endpoint %s runs %s", m_options.id.c_str(), id.c_str());
            const double work = m_options.workSeconds * m_slowness;
            const double budget = std::atof(request.field("deadline-milliseconds").c_str()) / 1000;
            const bool isInTime = work <= budget;
            sleepFor(std::min(work, budget));
            std::vector<std::pair<std::string, std::string>> fields = {{"Request-Id", id}, {"Response-Signature", "s." + m_options.id}};
            for (int i = 0; i < m_options.moreFields; ++i) {
                fields.emplace_back("Trace-Of-The-Turn-" + std::to_string(1000 + i), "0123456789-0123456789-01");
            }
            const bool isSent = sendAll(fd, response(isInTime ? 200 : 504, fields, isInTime ? bodyOf(id) : "time budget"));
            const std::lock_guard lock(m_mutex);
            --m_inWork;
            m_runs[run].isFinished = isSent && !m_isEnded;
            m_runs[run].endedAt = now();
            if (!isSent || m_isEnded) {
                return;
            }
        }
    }

    const Options m_options;
    Store &m_store;
    Record &m_record;
    const std::int64_t m_born;
    std::atomic<double> m_slowness{1};
    std::mutex m_mutex;
    std::string m_state = "ready";
    int m_sequence = 0;
    int m_inWork = 0;
    bool m_isEnded = false;
    std::vector<Run> m_runs;
    Server m_server;
};

//! One request of a client and what became of it.
struct Attempt
{
    std::string id;
    std::string node;
    std::string path;
    double sentAt = 0;
    double endedAt = 0;
    int status = 0; //!< Zero: no answer.
    bool isSigned = false;
    bool isWhole = false; //!< A 2xx answer that is the endpoint's whole answer to this request.
    ReadResult result = ReadResult::TimedOut;
};

//! Sends one request after another on a connection that it keeps; opens another after a failure.
class Client
{
public:
    Client(std::string host, int port)
        : m_host(std::move(host))
        , m_port(port)
    {
    }
    ~Client()
    {
        disconnect();
    }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    Attempt send(const std::string &method,
                 const std::string &virtualHost,
                 const std::string &path,
                 const std::string &id,
                 int deadlineMilliseconds,
                 const std::string &body = "")
    {
        Attempt attempt;
        attempt.id = id;
        attempt.node = m_host;
        attempt.path = path;
        if (m_fd < 0) {
            m_fd = connectTo(m_host, m_port);
            m_reader = std::make_unique<Reader>(m_fd);
        }
        attempt.sentAt = now();
        attempt.result = ReadResult::Closed;
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + virtualHost + "\r\nRequest-Id: " + id
            + "\r\nDeadline-Milliseconds: " + std::to_string(deadlineMilliseconds) + "\r\n";
        if (method != "GET") {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        if (m_fd >= 0 && sendAll(m_fd, text + "\r\n" + body)) {
            Message answer;
            attempt.result = m_reader->read(answer, attempt.sentAt + deadlineMilliseconds / 1000.0 + 0.3);
            if (attempt.result == ReadResult::Whole) {
                attempt.status = answer.status();
                attempt.isSigned = !answer.field("response-signature").empty();
                attempt.isWhole = answer.body == Endpoint::bodyOf(id) && answer.field("request-id") == id;
                if (answer.field("connection") == "close") {
                    disconnect();
                }
            }
        }
        attempt.endedAt = now();
        if (attempt.result != ReadResult::Whole) {
            disconnect();
        }
        return attempt;
    }

private:
    void disconnect()
    {
        if (m_fd >= 0) {
            close(m_fd);
        }
        m_fd = -1;
    }

    std::string m_host;
    int m_port;
    int m_fd = -1;
    std::unique_ptr<Reader> m_reader;
};

//! Clients that send at random times until they are stopped. Keeps all attempts.
class Load
{
public:
    Load(Record &record, std::string virtualHost)
        : m_record(record)
        , m_virtualHost(std::move(virtualHost))
    {
    }
    //! Adds clients that together send `perSecond` requests, if these are answered in time.
    void add(const std::string &host,
             int port,
             int clients,
             double perSecond,
             const std::string &method,
             const std::string &path,
             int deadline,
             std::size_t bodyBytes = 20)
    {
        for (int i = 0; i < clients; ++i) {
            m_threads.emplace_back([=] { run(host, port, perSecond / clients, method, path, deadline, bodyBytes); });
        }
    }
    //! Has no effect if it was called before.
    void stop()
    {
        m_isStopped = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }
    std::vector<Attempt> attempts()
    {
        const std::lock_guard lock(m_mutex);
        return m_attempts;
    }

private:
    void run(const std::string &host,
             int port,
             double perSecond,
             const std::string &method,
             const std::string &path,
             int deadline,
             std::size_t bodyBytes)
    {
        const std::string body(bodyBytes, 'b');
        Client client(host, port);
        std::mt19937_64 random(std::random_device{}());
        std::exponential_distribution<double> pause(perSecond);
        double next = now() + pause(random);
        while (!m_isStopped) {
            sleepUntil(std::min(next, now() + 0.2));
            if (now() < next) {
                continue;
            }
            next = std::max(next + pause(random), now());
            const std::string id = "q" + std::to_string(++m_lastId);
            Attempt attempt = client.send(method, m_virtualHost, path, id, deadline, method == "GET" ? "" : body);
            m_record.line("client at %s: %s %s sent at %.3f, %s %d%s",
                          host.c_str(),
                          id.c_str(),
                          path.c_str(),
                          attempt.sentAt,
                          attempt.result == ReadResult::Whole ? "answered" : "NOT ANSWERED",
                          attempt.status,
                          attempt.isSigned ? " signed" : "");
            const std::lock_guard lock(m_mutex);
            m_attempts.push_back(std::move(attempt));
        }
    }

    Record &m_record;
    std::string m_virtualHost;
    std::atomic<bool> m_isStopped{false};
    static inline std::atomic<int> m_lastId{0};
    std::mutex m_mutex;
    std::vector<Attempt> m_attempts;
    std::vector<std::thread> m_threads;
};

struct Route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    double timeoutSeconds = 2;
};

inline std::string configuration(int version,
                                 const std::string &host,
                                 const std::vector<Route> &routes,
                                 const std::set<std::string> &services,
                                 int maxHeaderBytes = 16384)
{
    std::string rules;
    for (const Route &route : routes) {
        rules += std::string(rules.empty() ? "" : ",") + "{\"name\":\"" + route.name + "\",\"kind\":\"" + route.kind
            + "\",\"target_latency_s\":1,\"priority\":0,\"match\":{\"prefix\":\"" + route.prefix + "\"},\"action\":{\"service\":\""
            + route.service + "\",\"timeout_s\":" + std::to_string(route.timeoutSeconds) + ",\"attempts\":2}}";
    }
    std::string clusters;
    for (const std::string &service : services) {
        clusters += std::string(clusters.empty() ? "" : ",") + "{\"name\":\"" + service
            + "\",\"health_check_path\":\"/health\",\"connection_limit\":748,\"protocol\":\"h1\",\"tls\":false}";
    }
    return "{\"version\":" + std::to_string(version) + ",\"limits\":{\"max_header_bytes\":" + std::to_string(maxHeaderBytes)
        + ",\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15},\"listeners\":[{\"host\":\"" + host + "\",\"rules\":["
        + rules + "]}],\"clusters\":[" + clusters + "]}";
}

//! Waits until a node answers its readiness probe with 200; false after the time limit.
inline bool waitReady(const std::string &host, int port, double seconds)
{
    for (const double end = now() + seconds; now() < end; sleepFor(0.1)) {
        const int fd = connectTo(host, port);
        if (fd < 0) {
            continue;
        }
        Message answer;
        sendAll(fd, "GET /readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        const bool isReady = Reader(fd).read(answer, now() + 1) == ReadResult::Whole && answer.status() == 200;
        close(fd);
        if (isReady) {
            return true;
        }
    }
    return false;
}

} // namespace world
