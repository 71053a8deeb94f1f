#include <chervilpaddle/transport/pendinginput.h>

#include <cerrno>
#include <sys/socket.h>

namespace chervilpaddle {

PendingInput peekInput(int socket, std::error_code &error)
{
    error.clear();
    char byte = 0;
    const auto received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received >= 0) {
        return received > 0 ? PendingInput::Bytes : PendingInput::EndOfStream;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
        return PendingInput::None;
    }
    error.assign(errno, std::system_category());
    return PendingInput::Error;
}

} // namespace chervilpaddle
