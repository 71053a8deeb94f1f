#include <chervilpaddle/controllers/connectionlimit.h>
#include <chervilpaddle/transport/bodyassembler.h>
#include <chervilpaddle/transport/peertransport.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

namespace chervilpaddle {

namespace {

//! A connection is closed when more data than this waits to be sent, because its peer does not read.
constexpr std::size_t maxUnsentBytes = 4 * maxFrameBytes;
//! Longer bodies of answers are sent in parts of this size.
constexpr std::size_t maxBodyPartBytes = 64 * kibibyte;
//! Answers of this size are followed by a ping.
constexpr std::size_t minMarkedBytes = 16 * kibibyte;
constexpr const char *protocolVersion = "13"; // RFC 6455
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

// websocketpp requires the names below.
// NOLINTBEGIN(readability-identifier-naming)

//! Configuration without locking: each endpoint is run by a single thread.
template<typename Base>
struct SingleThreaded : public Base
{
    using type = SingleThreaded;
    using concurrency_type = websocketpp::concurrency::none;
    using request_type = typename Base::request_type;
    using response_type = typename Base::response_type;
    using message_type = typename Base::message_type;
    using con_msg_manager_type = typename Base::con_msg_manager_type;
    using endpoint_msg_manager_type = typename Base::endpoint_msg_manager_type;
    using alog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
    using elog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
    using rng_type = websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;

    struct transport_config : public Base::transport_config
    {
        using concurrency_type = typename SingleThreaded::concurrency_type;
        using alog_type = typename SingleThreaded::alog_type;
        using elog_type = typename SingleThreaded::elog_type;
        using request_type = typename SingleThreaded::request_type;
        using response_type = typename SingleThreaded::response_type;
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
        static const bool enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    static const std::size_t max_message_size = maxFrameBytes;
    static const long timeout_open_handshake = 5000;
    static const long timeout_close_handshake = 500;
};
// NOLINTEND(readability-identifier-naming)

using Server = websocketpp::server<SingleThreaded<websocketpp::config::core>>;
using Client = websocketpp::client<SingleThreaded<websocketpp::config::core_client>>;
using boost::asio::ip::tcp;
using websocketpp::connection_hdl;

} // namespace

class PeerTransport::Impl : public std::enable_shared_from_this<PeerTransport::Impl>
{
public:
    Impl(boost::asio::io_context &context, Hooks hooks, std::shared_ptr<BodyMemory> responseMemory, std::size_t maxUnidentified)
        : m_context(context)
        , m_hooks(std::move(hooks))
        , m_responseMemory(std::move(responseMemory))
        , m_acceptor(context)
        , m_acceptTimer(context)
        , m_unidentifiedLimit(maxUnidentified)
    {
        configure(m_server);
        configure(m_client);
        // Earlier versions delimit messages without a length, and websocketpp does not limit their size.
        m_server.set_validate_handler([this](const connection_hdl &handle) {
            return m_server.get_con_from_hdl(handle)->get_request_header("Sec-WebSocket-Version") == protocolVersion;
        });
        m_server.set_fail_handler([this](const connection_hdl &handle) { removeUnidentified(handle); });
        m_server.set_open_handler([this](const connection_hdl &handle) {
            if (m_isShutDown) {
                closeOn(m_server, handle);
                return;
            }
            const ConnectionId id(++m_lastId);
            const auto connection = m_server.get_con_from_hdl(handle);
            setNoDelay(*connection);
            setHandlers(*connection, id);
            m_inbound[id] = handle;
            m_hooks.opened(id, true);
        });
    }

    std::error_code listen(const Endpoint &address)
    {
        boost::system::error_code error;
        const tcp::endpoint endpoint(boost::asio::ip::make_address(address.host, error), address.port);
        m_acceptor.open(endpoint.protocol(), error);
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(endpoint, error);
        if (!error) {
            m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
        }
        if (error) {
            return ResultCode::AddressInUse;
        }
        accept();
        return {};
    }

    ConnectionId dial(const Endpoint &address)
    {
        const ConnectionId id(++m_lastId);
        websocketpp::lib::error_code error;
        const auto connection = m_client.get_connection("ws://" + toText(address) + "/peer", error);
        if (error || m_isShutDown) {
            boost::asio::post(m_context, [self = shared_from_this(), id] { self->m_hooks.closed(id); });
            return id;
        }
        // The handler must not own its connection: the reference cycle would leak both.
        connection->set_open_handler([this, id](const connection_hdl &handle) {
            if (m_outbound.count(id) == 0) {
                // Closed while it was being opened.
                closeOn(m_client, handle);
                return;
            }
            setNoDelay(*m_client.get_con_from_hdl(handle));
            m_hooks.opened(id, false);
        });
        connection->set_fail_handler([this, id](const connection_hdl & /*handle*/) { removeConnection(id); });
        setHandlers(*connection, id);
        m_outbound[id] = connection->get_handle();
        m_client.connect(connection);
        return id;
    }

    void send(ConnectionId id, const PeerMessage &message)
    {
        const auto *answer = std::get_if<ResponseMessage>(&message);
        if (answer == nullptr || !answer->payload.body || answer->payload.body->empty()) {
            sendFrame(id, message);
            return;
        }
        if (!m_responseMemory) {
            sendAnswer(id, *answer);
            return;
        }
        auto share = m_responseMemory->hold([] {}); // A committed share is never given up.
        if (!share->update(BodyMemory::Use::Committed, answer->payload.body->size())) {
            ResponseMessage replacement = *answer;
            replacement.code = ResultCode::AnswerTooLarge;
            replacement.payload = {};
            sendFrame(id, replacement);
        } else if (sendAnswer(id, *answer)) {
            m_unreadAnswers[id].shares.push_back(std::move(share));
            markAnswers(id, answer->payload.body->size());
        }
    }

    void close(ConnectionId id)
    {
        boost::asio::post(m_context, [self = shared_from_this(), id] { self->closeNow(id); });
    }

    void shutdown()
    {
        m_isShutDown = true;
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        m_acceptTimer.cancel();
        std::vector<ConnectionId> ids;
        for (const auto &entry : m_outbound) {
            ids.push_back(entry.first);
        }
        for (const auto &entry : m_inbound) {
            ids.push_back(entry.first);
        }
        for (const ConnectionId id : ids) {
            close(id);
        }
    }

    PeerTraffic m_sent;
    PeerTraffic m_received;

private:
    //! Accepts without websocketpp's loop, which tries again at once when there are no descriptors.
    void accept()
    {
        const auto connection = m_server.get_connection();
        m_acceptor.async_accept(connection->get_raw_socket(),
                                [this, alive = weak_from_this(), connection](boost::system::error_code error) {
                                    if (alive.expired()) {
                                        return;
                                    }
                                    if (m_acceptor.is_open()) {
                                        error ? acceptLater() : accept();
                                    }
                                    if (!error) {
                                        addUnidentified(connection->get_handle());
                                        connection->start();
                                    }
                                });
    }

    void addUnidentified(const connection_hdl &handle)
    {
        if (m_unidentifiedLimit.isFull()) {
            if (const auto displaced = m_unidentifiedLimit.displace(); displaced) {
                const auto found = std::find_if(
                    m_unidentified.begin(), m_unidentified.end(), [&displaced](const auto &entry) { return entry.second == *displaced; });
                const connection_hdl displacedHandle = found->first;
                removeUnidentified(displacedHandle);
                closeOn(m_server, displacedHandle);
            }
        }
        m_unidentified[handle] = m_unidentifiedLimit.add();
    }

    //! Does nothing if the connection has been identified.
    void removeUnidentified(const connection_hdl &handle)
    {
        if (const auto found = m_unidentified.find(handle); found != m_unidentified.end()) {
            m_unidentifiedLimit.remove(found->second);
            m_unidentified.erase(found);
        }
    }

    void acceptLater()
    {
        m_acceptTimer.expires_after(acceptRetryDelay);
        m_acceptTimer.async_wait([this, alive = weak_from_this()](boost::system::error_code /*error*/) {
            if (!alive.expired() && m_acceptor.is_open()) {
                accept();
            }
        });
    }

    template<typename EndpointType>
    void configure(EndpointType &endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&m_context);
    }

    template<typename ConnectionType>
    void setHandlers(ConnectionType &connection, ConnectionId id)
    {
        connection.set_message_handler(
            [this, id](const connection_hdl & /*handle*/, const auto &message) { handleFrame(id, message->get_payload()); });
        connection.set_pong_handler(
            [this, id](const connection_hdl & /*handle*/, const std::string &payload) { releaseAnswers(id, payload); });
        connection.set_close_handler([this, id](const connection_hdl & /*handle*/) { removeConnection(id); });
    }

    template<typename ConnectionType>
    static void setNoDelay(ConnectionType &connection)
    {
        boost::system::error_code ignored;
        connection.get_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    }

    //! Sends an answer; its body is sent before it in parts if it is long and the peer takes them. Returns false if there is no
    //! connection that accepts it whole.
    bool sendAnswer(ConnectionId id, const ResponseMessage &answer)
    {
        const std::string &body = *answer.payload.body;
        if (body.size() <= maxBodyPartBytes || m_takesBodyParts.count(id) == 0) {
            return sendFrame(id, answer);
        }
        for (std::size_t at = 0; at < body.size(); at += maxBodyPartBytes) {
            if (!sendFrame(id, BodyPartMessage{answer.ticket, body.size(), body.substr(at, maxBodyPartBytes)})) {
                return false;
            }
        }
        ResponseMessage last = answer;
        last.payload.body = nullptr;
        last.payload.bodyBytesInParts = body.size();
        return sendFrame(id, last);
    }

    //! Returns false if there is no connection that accepts the frame.
    bool sendFrame(ConnectionId id, const PeerMessage &message)
    {
        const std::string bytes = encodeFrame({message, m_hooks.clock()});
        bool isSent = false;
        if (const auto outbound = m_outbound.find(id); outbound != m_outbound.end()) {
            isSent = sendOn(m_client, outbound->second, id, bytes);
        } else if (const auto inbound = m_inbound.find(id); inbound != m_inbound.end()) {
            isSent = sendOn(m_server, inbound->second, id, bytes);
        }
        if (isSent) {
            m_sent.record(message, bytes.size());
        }
        return isSent;
    }

    //! websocketpp does not report when a frame has been written. A ping behind the answers is returned once the peer has read them.
    void markAnswers(ConnectionId id, std::size_t bytes)
    {
        UnreadAnswers &unread = m_unreadAnswers[id];
        unread.unmarkedBytes += bytes;
        if (unread.unmarkedBytes < minMarkedBytes) {
            return;
        }
        unread.unmarkedBytes = 0;
        unread.marks.push_back({++m_lastMark, std::exchange(unread.shares, {})});
        const std::string payload = std::to_string(m_lastMark);
        if (const auto outbound = m_outbound.find(id); outbound != m_outbound.end()) {
            pingOn(m_client, outbound->second, payload);
        } else if (const auto inbound = m_inbound.find(id); inbound != m_inbound.end()) {
            pingOn(m_server, inbound->second, payload);
        }
    }

    template<typename EndpointType>
    static void pingOn(EndpointType &endpoint, const connection_hdl &handle, const std::string &payload)
    {
        websocketpp::lib::error_code ignored; // A connection that accepts no ping is being closed, which releases its answers.
        endpoint.ping(handle, payload, ignored);
    }

    void releaseAnswers(ConnectionId id, const std::string &pong)
    {
        const auto unread = m_unreadAnswers.find(id);
        if (unread == m_unreadAnswers.end()) {
            return;
        }
        auto &marks = unread->second.marks;
        const auto marked =
            std::find_if(marks.begin(), marks.end(), [&pong](const Mark &mark) { return std::to_string(mark.number) == pong; });
        if (marked != marks.end()) {
            marks.erase(marks.begin(), std::next(marked));
        }
    }

    //! Returns false if the connection does not accept the frame.
    template<typename EndpointType>
    bool sendOn(EndpointType &endpoint, const connection_hdl &handle, ConnectionId id, const std::string &bytes)
    {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (error) {
            return false;
        }
        if (connection->get_buffered_amount() > maxUnsentBytes) {
            close(id);
            return false;
        }
        return !connection->send(bytes, websocketpp::frame::opcode::binary);
    }

    void handleFrame(ConnectionId id, const std::string &bytes)
    {
        PeerFrame frame;
        if (const std::error_code error = decodeFrame(bytes, frame); error) {
            m_hooks.frameRejected(id, error);
            close(id);
            return;
        }
        m_received.record(frame.message, bytes.size());
        if (const auto *part = std::get_if<BodyPartMessage>(&frame.message); part != nullptr) {
            assemblerOf(id).add(*part);
            return;
        }
        if (const auto *hello = std::get_if<HelloMessage>(&frame.message); hello != nullptr) {
            handleHello(id, *hello);
        }
        if (auto *answer = std::get_if<ResponseMessage>(&frame.message); answer != nullptr && answer->payload.bodyBytesInParts > 0) {
            assemblerOf(id).complete(*answer);
        }
        try {
            m_hooks.received(id, std::move(frame));
        } catch (...) {
            // Thrown again by a handler of its own, as websocketpp would not read on.
            boost::asio::post(m_context, [error = std::current_exception()] { std::rethrow_exception(error); });
        }
    }

    void handleHello(ConnectionId id, const HelloMessage &hello)
    {
        if (hello.takesBodyParts) {
            m_takesBodyParts.insert(id);
        }
        if (const auto inbound = m_inbound.find(id); inbound != m_inbound.end()) {
            removeUnidentified(inbound->second);
        }
    }

    BodyAssembler &assemblerOf(ConnectionId id)
    {
        const auto post = [&context = m_context](std::function<void()> action) { boost::asio::post(context, std::move(action)); };
        return m_assemblers.try_emplace(id, m_responseMemory, post).first->second;
    }

    //! A connection that is not open yet has ended for its user at once: while its host name is being resolved, nothing can stop it.
    void closeNow(ConnectionId id)
    {
        if (const auto outbound = m_outbound.find(id); outbound != m_outbound.end()) {
            if (const bool isOpening = !closeOn(m_client, outbound->second); isOpening) {
                removeConnection(id);
            }
        } else if (const auto inbound = m_inbound.find(id); inbound != m_inbound.end()) {
            closeOn(m_server, inbound->second);
        }
    }

    //! Returns false if the connection is not open yet.
    template<typename EndpointType>
    bool closeOn(EndpointType &endpoint, const connection_hdl &handle)
    {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (error) {
            return true;
        }
        const auto state = connection->get_state();
        if (state == websocketpp::session::state::open) {
            connection->close(websocketpp::close::status::normal, "", error);
        } else {
            boost::system::error_code ignored;
            connection->get_raw_socket().close(ignored);
        }
        return state != websocketpp::session::state::connecting;
    }

    //! Reports the end of a connection, unless it has been reported.
    void removeConnection(ConnectionId id)
    {
        m_unreadAnswers.erase(id);
        m_assemblers.erase(id);
        m_takesBodyParts.erase(id);
        if (const auto inbound = m_inbound.find(id); inbound != m_inbound.end()) {
            removeUnidentified(inbound->second);
        }
        if (m_outbound.erase(id) + m_inbound.erase(id) != 0) {
            m_hooks.closed(id);
        }
    }

    //! The shares of answers that are followed by the ping with this number.
    struct Mark
    {
        std::uint64_t number = 0;
        std::vector<std::unique_ptr<BodyMemory::Share>> shares;
    };
    //! Answers that the peer may not have read.
    struct UnreadAnswers
    {
        std::deque<Mark> marks;
        //! Of those that no ping follows yet.
        std::vector<std::unique_ptr<BodyMemory::Share>> shares;
        std::size_t unmarkedBytes = 0;
    };

    boost::asio::io_context &m_context;
    Hooks m_hooks;
    std::shared_ptr<BodyMemory> m_responseMemory;
    std::unordered_map<ConnectionId, UnreadAnswers> m_unreadAnswers;
    std::uint64_t m_lastMark = 0;
    std::unordered_map<ConnectionId, BodyAssembler> m_assemblers;
    std::unordered_set<ConnectionId> m_takesBodyParts;
    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    //! Accepted connections on which no hello has arrived.
    ConnectionLimit m_unidentifiedLimit;
    std::map<connection_hdl, ServedConnection, std::owner_less<connection_hdl>> m_unidentified;
    Server m_server;
    Client m_client;
    std::uint64_t m_lastId = 0;
    bool m_isShutDown = false;
    std::unordered_map<ConnectionId, connection_hdl> m_outbound;
    std::unordered_map<ConnectionId, connection_hdl> m_inbound;
};

PeerTransport::PeerTransport(boost::asio::io_context &context,
                             Hooks hooks,
                             std::shared_ptr<BodyMemory> responseMemory,
                             std::size_t maxUnidentified)
    : m_impl(std::make_shared<Impl>(context, std::move(hooks), std::move(responseMemory), maxUnidentified))
{
}

PeerTransport::~PeerTransport() = default;

std::error_code PeerTransport::listen(const Endpoint &address)
{
    return m_impl->listen(address);
}

ConnectionId PeerTransport::dial(const Endpoint &address)
{
    return m_impl->dial(address);
}

void PeerTransport::send(ConnectionId connection, const PeerMessage &message)
{
    m_impl->send(connection, message);
}

void PeerTransport::close(ConnectionId connection)
{
    m_impl->close(connection);
}

void PeerTransport::shutdown()
{
    m_impl->shutdown();
}

const PeerTraffic &PeerTransport::sent() const
{
    return m_impl->m_sent;
}

const PeerTraffic &PeerTransport::received() const
{
    return m_impl->m_received;
}

} // namespace chervilpaddle
