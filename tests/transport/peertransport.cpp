#include "descriptorhoard.h"
#include "endlessbytes.h"

#include <chervilpaddle/base/random.h>
#include <chervilpaddle/transport/eventloop.h>
#include <chervilpaddle/transport/peertransport.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <vector>

using namespace chervilpaddle;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto patience = std::chrono::seconds(10);

Endpoint freeAddress()
{
    asio::io_context context;
    return {"127.0.0.1", tcp::acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)).local_endpoint().port()};
}

//! A transport that listens and one that dials it, on the same context.
class TransportPair
{
public:
    //! The memory is for the answers of the transport that dials.
    explicit TransportPair(std::function<void(const PeerFrame &)> received, std::shared_ptr<BodyMemory> responseMemory = nullptr)
        : m_server(context, hooks(std::move(received), [](ConnectionId) {}))
        , m_client(context,
                   hooks([](const PeerFrame &) {}, [this](ConnectionId id) { m_client.send(id, HelloMessage()); }),
                   std::move(responseMemory))
    {
        cr_assert_not(m_server.listen(address));
    }

    //! Dials the listening transport, which receives a hello as soon as the connection is open.
    ConnectionId dial()
    {
        return m_client.dial(address);
    }

    void send(ConnectionId id, const PeerMessage &message)
    {
        m_client.send(id, message);
    }

    const Endpoint address = freeAddress();
    asio::io_context context{1};
    int closed = 0;
    int rejected = 0;

private:
    PeerTransport::Hooks hooks(std::function<void(const PeerFrame &)> received, std::function<void(ConnectionId)> opened)
    {
        PeerTransport::Hooks hooks;
        hooks.clock = [] { return TimePoint(); };
        hooks.opened = [opened = std::move(opened)](ConnectionId id, bool /*inbound*/) { opened(id); };
        hooks.received = [received = std::move(received)](ConnectionId /*id*/, const PeerFrame &frame) { received(frame); };
        hooks.closed = [this](ConnectionId /*id*/) { ++closed; };
        hooks.frameRejected = [this](ConnectionId /*id*/, std::error_code /*error*/) { ++rejected; };
        return hooks;
    }

    PeerTransport m_server;
    PeerTransport m_client;
};

std::string randomBytes(RandomSource &random, std::size_t size)
{
    std::string bytes(size, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

std::string upgrade(const std::string &version, const std::string &fields = {})
{
    return "GET /peer HTTP/1.1\r\nHost: h:1\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
           "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: "
        + version + "\r\n" + fields + "\r\n";
}

//! The handshake of the draft version 00.
std::string draftUpgrade(const std::string &key1, const std::string &key2)
{
    return "GET /peer HTTP/1.1\r\nHost: h\r\nUpgrade: WebSocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key1: " + key1
        + "\r\nSec-WebSocket-Key2: " + key2 + "\r\n\r\n12345678";
}

} // namespace

Test(peertransport, odd_handshakes_and_frames_end_their_own_connection_only)
{
    const std::string starts[] = {
        "",
        "\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h:99999999999999999999\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h:-1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: [::1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 18446744073709551616\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\n: nameless\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n12345678",
        draftUpgrade("1", "x"),
        upgrade("-1"),
        upgrade("7"),
        upgrade("8"),
        upgrade("x"),
        upgrade("99999999999999999999"),
        upgrade("13"),
        upgrade("13", "Sec-WebSocket-Extensions: permessage-deflate; =\"\r\n"),
        upgrade("13", "Sec-WebSocket-Protocol: ,,;=\r\n"),
        upgrade("13", "Sec-WebSocket-Protocol: a\r\nSec-WebSocket-Protocol: b\r\nOrigin: \xff\r\n"),
    };
    const std::string frames[] = {
        std::string("\x88\x80\0\0\0\0", 6), // a close without a code
        std::string("\x88\x81\0\0\0\0x", 7), // a close with half a code
        std::string("\x88\x82\0\0\0\0\xff\xff", 8), // a close with an invalid code
        std::string("\x89\xfe\x10\0", 4), // a ping over the size of control frames
        std::string("\x82\xff\xff\xff\xff\xff\xff\xff\xff\xff\0\0\0\0", 14), // the largest length
        std::string("\x82\x80\0\0\0\0", 6), // an empty message
        std::string("\x81\x81\0\0\0\0\xff", 7), // a text that is not UTF-8
        std::string("\x80\x80\0\0\0\0", 6), // a continuation of nothing
        std::string("\x82\0", 2), // not masked
        std::string("\xf2\x80\0\0\0\0", 6), // reserved bits
    };
    int received = 0;
    TransportPair pair([&received](const PeerFrame & /*frame*/) { ++received; });
    pair.dial();
    RandomSource random(20261204);
    asio::io_context clientContext;
    for (const std::string &start : starts) {
        std::vector<std::string> ends = {"", randomBytes(random, 40), randomBytes(random, 400)};
        ends.insert(ends.end(), std::begin(frames), std::end(frames));
        for (const std::string &end : ends) {
            tcp::socket socket(clientContext);
            socket.connect({asio::ip::make_address(pair.address.host), pair.address.port});
            boost::system::error_code ignored;
            asio::write(socket, asio::buffer(start), ignored);
            pair.context.poll();
            asio::write(socket, asio::buffer(end), ignored);
            pair.context.poll();
            socket.close();
            pair.context.poll();
        }
    }
    cr_expect_eq(received, 1);
    pair.dial();
    while (received < 2 && pair.context.run_one_for(patience) > 0) { }
    cr_expect_eq(received, 2);
}

Test(peertransport, an_exception_while_a_frame_is_handled_is_reported_and_keeps_the_link)
{
    int received = 0;
    TransportPair pair([&](const PeerFrame & /*frame*/) {
        if (++received == 3) {
            pair.context.stop();
        }
        throw std::runtime_error("odd frame");
    });
    const ConnectionId link = pair.dial();
    int reports = 0;
    asio::steady_timer limit(pair.context, patience);
    limit.async_wait([&pair](const boost::system::error_code & /*error*/) { pair.context.stop(); });
    runEventLoop(pair.context, [&](const std::string & /*what*/) {
        ++reports;
        pair.send(link, StatusMessage());
    });
    cr_expect_eq(received, 3);
    cr_expect_geq(reports, 2);
    cr_expect_eq(pair.closed, 0);
}

Test(peertransport, accepting_pauses_while_there_are_no_descriptors)
{
    int received = 0;
    TransportPair pair([&received](const PeerFrame & /*frame*/) { ++received; });
    asio::io_context clientContext;
    tcp::socket socket(clientContext, tcp::v4());
    {
        const tests::DescriptorHoard hoard;
        socket.connect({asio::ip::make_address(pair.address.host), pair.address.port});
        constexpr std::size_t maxAttempts = 20;
        cr_expect_leq(pair.context.run_for(std::chrono::milliseconds(200)), maxAttempts);
    }
    socket.close();
    pair.dial();
    while (received == 0 && pair.context.run_one_for(patience) > 0) { }
    cr_expect_eq(received, 1);
}

Test(peertransport, a_message_without_end_is_cut_off)
{
    const tests::EndlessCase cases[] = {
        {"a message without a length", draftUpgrade("1 2", "3 4") + std::string(1, '\0'), "x"},
        {"fragments", upgrade("13") + std::string("\x02\x80\0\0\0\0", 6), std::string("\0\xfe\x10\0\0\0\0\0", 8) + std::string(4096, 'x')},
        {"handshake", upgrade("13", "A: "), "x"},
    };
    for (const tests::EndlessCase &testCase : cases) {
        TransportPair pair([](const PeerFrame & /*frame*/) {});
        asio::io_context clientContext;
        tcp::socket socket(clientContext);
        socket.connect({asio::ip::make_address(pair.address.host), pair.address.port});
        boost::system::error_code error;
        std::size_t sent = asio::write(socket, asio::buffer(testCase.start), error);
        socket.non_blocking(true);
        const std::string block = tests::floodBlock(testCase.endless);
        std::size_t at = 0;
        while ((!error || error == asio::error::would_block) && sent < tests::maxFloodBytes) {
            const std::size_t size = socket.write_some(asio::buffer(block) + at, error);
            sent += size;
            at = (at + size) % block.size();
            pair.context.poll();
        }
        cr_expect_lt(sent, tests::maxFloodBytes, "%s: %zu bytes were taken", testCase.description, sent);
    }
}

namespace {

//! A transport that counts what its hooks report.
class TransportFixture
{
public:
    TransportFixture(asio::io_context &context, std::uint16_t port)
        : address{"127.0.0.1", port}
        , transport(context, hooks())
    {
        cr_assert(!transport.listen(address));
    }

    PeerTransport::Hooks hooks()
    {
        PeerTransport::Hooks hooks;
        hooks.clock = steadyClock();
        hooks.opened = [this](ConnectionId id, bool /*inbound*/) {
            cr_expect_not(isInCall, "opened from within a call");
            ++opened[id];
            last = id;
            if (onOpened) {
                onOpened(id);
            }
        };
        hooks.received = [this](ConnectionId id, const PeerFrame & /*frame*/) { ++received[id]; };
        hooks.closed = [this](ConnectionId id) {
            cr_expect_not(isInCall, "closed from within a call");
            ++closed[id];
        };
        hooks.frameRejected = [](ConnectionId /*id*/, std::error_code /*error*/) {};
        return hooks;
    }

    template<typename Action>
    auto call(Action action)
    {
        isInCall = true;
        const auto result = action();
        isInCall = false;
        return result;
    }

    void close(ConnectionId id)
    {
        call([&] { return transport.close(id), 0; });
    }

    void send(ConnectionId id)
    {
        call([&] { return transport.send(id, StatusMessage()), 0; });
    }

    int openCount() const
    {
        int count = 0;
        for (const auto &[id, times] : opened) {
            count += times - (closed.count(id) != 0 ? closed.at(id) : 0);
        }
        return count;
    }

    Endpoint address;
    std::map<ConnectionId, int> opened;
    std::map<ConnectionId, int> received;
    std::map<ConnectionId, int> closed;
    ConnectionId last;
    std::function<void(ConnectionId)> onOpened;
    bool isInCall = false;
    PeerTransport transport;
};

struct Pair
{
    explicit Pair(std::uint16_t port)
        : a(context, port)
        , b(context, static_cast<std::uint16_t>(port + 1))
    {
    }

    void runFor(std::chrono::milliseconds length)
    {
        context.restart();
        context.run_for(length);
    }

    //! Opens a connection from one to the other.
    ConnectionId open()
    {
        const ConnectionId id = a.call([this] { return a.transport.dial(b.address); });
        for (int i = 0; i < 100 && (a.opened[id] == 0 || b.opened.empty()); ++i) {
            runFor(std::chrono::milliseconds(20));
        }
        cr_assert_eq(a.opened[id], 1);
        return id;
    }

    asio::io_context context;
    TransportFixture a;
    TransportFixture b;
};

} // namespace

Test(peertransport, each_end_is_told_once_when_both_close_at_the_same_time)
{
    Pair pair(29000);
    const ConnectionId id = pair.open();
    const ConnectionId accepted = pair.b.last;
    pair.a.close(id);
    pair.a.close(id);
    pair.b.close(accepted);
    pair.runFor(std::chrono::milliseconds(800));
    cr_expect_eq(pair.a.closed[id], 1);
    cr_expect_eq(pair.b.closed[accepted], 1);
}

Test(peertransport, frames_that_cross_a_close_are_dropped_and_the_sender_is_told_of_the_close)
{
    Pair pair(29010);
    const ConnectionId id = pair.open();
    const ConnectionId accepted = pair.b.last;
    pair.a.close(id);
    for (int i = 0; i < 50; ++i) {
        pair.b.send(accepted);
    }
    pair.runFor(std::chrono::milliseconds(800));
    cr_expect_eq(pair.a.received[id], 0);
    cr_expect_eq(pair.a.closed[id], 1);
    cr_expect_eq(pair.b.closed[accepted], 1, "otherwise the calls would not be sent again");
    pair.b.send(accepted);
    pair.a.send(id);
    pair.runFor(std::chrono::milliseconds(50));
}

Test(peertransport, frames_that_are_not_sent_are_not_counted)
{
    Pair pair(29050);
    const ConnectionId id = pair.open();
    pair.a.send(id);
    const std::uint64_t sentBytes = pair.a.transport.sent().totalBytes();
    cr_expect_gt(sentBytes, 0);
    pair.a.close(id);
    pair.context.restart();
    pair.context.poll();
    pair.a.send(id);
    pair.runFor(std::chrono::milliseconds(800));
    pair.a.send(id);
    cr_expect_eq(pair.a.transport.sent().totalBytes(), sentBytes);
}

Test(peertransport, a_dial_that_is_closed_at_once_leaves_no_end_open)
{
    Pair pair(29020);
    for (int i = 0; i < 20; ++i) {
        const ConnectionId id = pair.a.call([&pair] { return pair.a.transport.dial(pair.b.address); });
        if (i % 2 == 0) {
            pair.a.close(id);
        } else {
            pair.context.restart();
            pair.context.poll_one();
            pair.a.close(id);
        }
        pair.runFor(std::chrono::milliseconds(50));
        cr_expect_eq(pair.a.closed[id], 1, "dial %d", i);
    }
    pair.runFor(std::chrono::milliseconds(800));
    cr_expect_eq(pair.b.openCount(), 0);
}

Test(peertransport, a_refused_dial_is_reported_once)
{
    Pair pair(29030);
    const ConnectionId id = pair.a.call([&pair] { return pair.a.transport.dial({"127.0.0.1", 29039}); });
    pair.runFor(std::chrono::milliseconds(200));
    cr_expect_eq(pair.a.closed[id], 1);
    cr_expect_eq(pair.a.opened[id], 0);
}

//! The peer has connected and sends its handshake when this node has stopped to accept.
Test(peertransport, no_connection_opens_after_a_shutdown)
{
    Pair pair(29040);
    const ConnectionId existing = pair.open();
    tcp::socket late(pair.context);
    late.connect({asio::ip::make_address("127.0.0.1"), pair.b.address.port});
    pair.runFor(std::chrono::milliseconds(100));
    const std::size_t openedBefore = pair.b.opened.size();
    pair.b.transport.shutdown();
    const ConnectionId dialled = pair.b.call([&pair] { return pair.b.transport.dial(pair.a.address); });
    const std::string handshake = "GET /peer HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                  "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";
    boost::system::error_code ignored;
    asio::write(late, asio::buffer(handshake), ignored);
    pair.runFor(std::chrono::milliseconds(800));
    cr_expect_eq(pair.a.closed[existing], 1);
    cr_expect_eq(pair.b.opened.size(), openedBefore, "%zu opened after the shutdown", pair.b.opened.size() - openedBefore);
    cr_expect_eq(pair.b.closed[dialled], 1);
}

namespace {

constexpr std::size_t largeBodyBytes = 3 * mebibyte;

ResponseMessage largeAnswer()
{
    ResponseMessage answer;
    answer.payload = {200, "text/plain", std::make_shared<const std::string>(largeBodyBytes, 'b')};
    return answer;
}

} // namespace

Test(peertransport, answers_to_a_peer_that_does_not_read_do_not_use_up_the_memory)
{
    asio::io_context context;
    std::optional<ConnectionId> opened;
    bool isClosed = false;
    PeerTransport::Hooks hooks;
    hooks.clock = [] { return TimePoint(); };
    hooks.opened = [&opened](ConnectionId id, bool /*inbound*/) { opened = id; };
    hooks.received = [](ConnectionId /*id*/, const PeerFrame & /*frame*/) {};
    hooks.closed = [&isClosed](ConnectionId /*id*/) { isClosed = true; };
    hooks.frameRejected = [](ConnectionId /*id*/, std::error_code /*error*/) {};
    const auto memory = std::make_shared<BodyMemory>(8 * mebibyte);
    PeerTransport transport(context, hooks, memory);
    const Endpoint address = freeAddress();
    cr_assert_not(transport.listen(address));
    asio::io_context peerContext;
    tcp::socket peer(peerContext);
    peer.connect({asio::ip::make_address(address.host), address.port});
    asio::write(peer, asio::buffer(upgrade("13")));
    while (!opened) {
        context.run_one();
    }
    for (int i = 0; i < 20; ++i) {
        transport.send(*opened, largeAnswer());
        context.poll();
    }
    cr_expect_eq(memory->heldBytes(), 2 * largeBodyBytes, "%zu bytes are held", memory->heldBytes());
    cr_expect_lt(
        transport.sent().totalBytes(), 8 * mebibyte, "%zu bytes were sent", static_cast<std::size_t>(transport.sent().totalBytes()));
    cr_expect_eq(memory->givenUp(), 18);
    peer.close();
    while (!isClosed) {
        context.run_one();
    }
    cr_expect_eq(memory->heldBytes(), 0, "%zu bytes stay held", memory->heldBytes());
}

Test(peertransport, answers_to_a_peer_that_reads_are_all_sent_whole)
{
    constexpr int answers = 20;
    const auto memory = std::make_shared<BodyMemory>(8 * mebibyte);
    int whole = 0;
    int received = 0;
    std::optional<ConnectionId> opened;
    TransportPair pair(
        [&](const PeerFrame &frame) {
            if (const auto *answer = std::get_if<ResponseMessage>(&frame.message); answer != nullptr) {
                ++received;
                whole += answer->payload.body && answer->payload.body->size() == largeBodyBytes ? 1 : 0;
            } else {
                opened = ConnectionId(1);
            }
        },
        memory);
    const ConnectionId id = pair.dial();
    while (!opened) {
        pair.context.run_one();
    }
    while (received < answers) {
        while (memory->heldBytes() + largeBodyBytes > 8 * mebibyte) {
            cr_assert_gt(pair.context.run_one_for(patience), 0, "answers stay held after %d were received", received);
        }
        pair.send(id, largeAnswer());
    }
    cr_expect_eq(whole, received);
    cr_expect_eq(memory->givenUp(), 0);
    while (memory->heldBytes() != 0) {
        cr_assert_gt(pair.context.run_one_for(patience), 0, "answers stay held");
    }
}

//! Long answers that arrive from many peers at once must not use up the memory, and an answer that is given up must not cost the
//! others of its connection.
Test(peertransport, an_answer_without_memory_at_its_receiver_ends_alone)
{
    struct Case
    {
        const char *description;
        std::size_t bodyBytes;
        ResultCode expected;
    };
    const Case cases[] = {
        {"in one frame", 1 * kibibyte, ResultCode::Done},
        {"in parts", 1 * mebibyte, ResultCode::Done},
        {"beyond the memory", 3 * mebibyte, ResultCode::AnswerTooLarge},
        {"in parts, after that", 2 * mebibyte - 1, ResultCode::Done},
    };
    asio::io_context context{1};
    const auto memory = std::make_shared<BodyMemory>(2 * mebibyte);
    std::vector<ResponseMessage> received;
    std::optional<ConnectionId> inbound;
    bool isAcquainted = false;
    int closed = 0;
    PeerTransport *senderOrNull = nullptr;
    PeerTransport::Hooks hooks;
    hooks.clock = [] { return TimePoint(); };
    hooks.closed = [&closed](ConnectionId /*id*/) { ++closed; };
    hooks.frameRejected = [](ConnectionId /*id*/, std::error_code error) { cr_expect(false, "%s", error.message().c_str()); };
    PeerTransport::Hooks senderHooks = hooks;
    senderHooks.opened = [&inbound](ConnectionId id, bool /*isInbound*/) { inbound = id; };
    senderHooks.received = [&isAcquainted](ConnectionId /*id*/, const PeerFrame & /*hello*/) { isAcquainted = true; };
    PeerTransport sender(context, senderHooks);
    const Endpoint address = freeAddress();
    cr_assert_not(sender.listen(address));
    PeerTransport::Hooks receiverHooks = hooks;
    receiverHooks.opened = [&senderOrNull](ConnectionId id, bool /*isInbound*/) { senderOrNull->send(id, HelloMessage()); };
    receiverHooks.received = [&received](ConnectionId /*id*/, PeerFrame frame) {
        received.push_back(std::get<ResponseMessage>(std::move(frame.message)));
    };
    PeerTransport receiver(context, receiverHooks, memory);
    senderOrNull = &receiver;
    receiver.dial(address);
    while (!isAcquainted) {
        cr_assert_gt(context.run_one_for(patience), 0);
    }
    for (const Case &c : cases) {
        ResponseMessage answer;
        answer.payload = {200, "text/plain", std::make_shared<const std::string>(c.bodyBytes, 'b')};
        sender.send(*inbound, answer);
        for (const std::size_t before = received.size(); received.size() == before;) {
            cr_assert_gt(context.run_one_for(patience), 0, "%s", c.description);
            cr_expect_leq(memory->heldBytes(), 2 * mebibyte);
        }
        const std::size_t size = received.back().payload.body ? received.back().payload.body->size() : 0;
        cr_expect_eq(received.back().code, c.expected, "%s", c.description);
        cr_expect_eq(size, c.expected == ResultCode::Done ? c.bodyBytes : 0, "%s: %zu bytes", c.description, size);
    }
    cr_expect_eq(closed, 0);
    cr_expect_eq(memory->heldBytes(), 0);
}
