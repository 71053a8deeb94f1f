#pragma once

#include "endlessbytes.h"

#include <chervilpaddle/controllers/instancelist.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

namespace chervilpaddle::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

//! What the server does after it has received the first bytes of a request.
struct Script
{
    std::string bytes;
    bool closes = false;
    //! Resets the connection; after its orderly end if it also half-closes.
    bool resets = false;
    //! Repeated after the bytes until the client closes the connection.
    std::string endless = {};
    //! Written ahead of the bytes on a connection that has carried an earlier request.
    std::string earlierBytes = {};
    //! Written some time after the bytes, in a segment of their own.
    std::string laterBytes = {};
    //! Ends the stream to the client, but keeps the connection open.
    bool halfCloses = false;
    //! Ends the connection some time after the bytes, although there are none to be written later.
    bool endsLater = false;
};

//! Loopback server that runs one script per request, regardless of the connection. Reads on without responding after the last one.
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &context, std::vector<Script> scripts)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_scripts(std::move(scripts))
    {
        accept();
    }

    Endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    int connections() const
    {
        return m_connections;
    }

    //! Number of requests whose first bytes were received.
    std::size_t requests() const
    {
        return m_next;
    }

    std::size_t floodBytes() const
    {
        return m_floodBytes;
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (!error) {
                ++m_connections;
                serve(std::make_shared<tcp::socket>(std::move(socket)), false);
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<tcp::socket> &socket, bool isKept)
    {
        const auto buffer = std::make_shared<std::vector<char>>(65536);
        socket->async_read_some(asio::buffer(*buffer), [this, socket, isKept, buffer](const boost::system::error_code &error, std::size_t) {
            if (error) {
                return;
            }
            if (m_next == m_scripts.size()) {
                serve(socket, isKept);
                return;
            }
            const Script &script = m_scripts[m_next++];
            asio::write(*socket, asio::buffer((isKept ? script.earlierBytes : std::string()) + script.bytes));
            if (!script.endless.empty()) {
                flood(socket, std::make_shared<std::string>(tests::floodBlock(script.endless)));
            } else if (script.endsLater || !script.laterBytes.empty()) {
                finishLater(socket, script);
            } else {
                finish(socket, script);
            }
        });
    }

    void finishLater(const std::shared_ptr<tcp::socket> &socket, const Script &script)
    {
        const auto timer = std::make_shared<asio::steady_timer>(socket->get_executor(), std::chrono::milliseconds(2));
        timer->async_wait([this, timer, socket, &script](const boost::system::error_code & /*error*/) {
            boost::system::error_code ignored; // The client may have closed the connection.
            asio::write(*socket, asio::buffer(script.laterBytes), ignored);
            finish(socket, script);
        });
    }

    void finish(const std::shared_ptr<tcp::socket> &socket, const Script &script)
    {
        boost::system::error_code ignored;
        if (script.halfCloses) {
            socket->shutdown(tcp::socket::shutdown_send, ignored);
        }
        if (script.resets) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
        }
        if (script.closes || script.resets) {
            socket->close(ignored);
        } else {
            serve(socket, true);
        }
    }

    void flood(const std::shared_ptr<tcp::socket> &socket, const std::shared_ptr<std::string> &block)
    {
        asio::async_write(*socket, asio::buffer(*block), [this, socket, block](const boost::system::error_code &error, std::size_t bytes) {
            m_floodBytes += bytes;
            if (!error) {
                flood(socket, block);
            }
        });
    }

    tcp::acceptor m_acceptor;
    std::vector<Script> m_scripts;
    std::size_t m_next = 0;
    int m_connections = 0;
    std::size_t m_floodBytes = 0;
};

} // namespace chervilpaddle::tests
