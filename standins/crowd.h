#pragma once

#include <chervilpaddle/base/clock.h>
#include <chervilpaddle/controllers/instancelist.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilpaddle::standins {

//! What all clients of a crowd do on each of their connections.
struct CrowdBehaviour
{
    //! How a client leaves its connection once it has sent what it sends.
    enum class End {
        Stays, //!< Until the other end closes it.
        HalfCloses, //!< Closes its own direction and reads on.
        Resets, //!< Resets it when the response has begun to arrive.
        Leaves, //!< Closes it at once.
    };

    const char *name;
    //! Number of requests that are sent without waiting for responses.
    int requests = 1;
    //! The requests announce a body of this size, of which `sentBodyBytes` are sent.
    std::size_t bodyBytes = 0;
    std::size_t sentBodyBytes = 0;
    //! Bytes sent at once, each `pause` after the ones before; zero: everything at once.
    std::size_t bytesPerWrite = 0;
    //! Bytes read at once, each `pause` after the ones before; zero: nothing is read.
    std::size_t bytesPerRead = 0;
    End end = End::Stays;
    //! Connections that a client opens, each after the end of the one before.
    int connections = 1;
};

//! Returns the behaviour with this name, or nullptr if there is none.
const CrowdBehaviour *findCrowdBehaviour(const std::string &name);

//! Clients that misbehave alike at one address. Single-threaded.
class Crowd
{
public:
    struct Options
    {
        Endpoint address;
        CrowdBehaviour behaviour;
        std::size_t clients = 1;
        std::string host;
        std::string target;
        //! Begins the id of each request.
        std::string idPrefix;
    };

    Crowd(boost::asio::io_context &context, Options options);
    ~Crowd();

    void start();
    //! Closes all connections.
    void leave();
    //! The status of the response to each request for which one has begun to arrive. Only the first response of a connection is read.
    const std::map<std::string, int> &statuses() const;
    //! Number of connections that were opened.
    std::size_t opened() const;

private:
    class Client;

    boost::asio::io_context &m_context;
    Options m_options;
    std::vector<std::shared_ptr<Client>> m_clients;
    std::map<std::string, int> m_statuses;
    std::size_t m_opened = 0;
};

} // namespace chervilpaddle::standins
