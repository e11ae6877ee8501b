#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace peridotspool::http {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

} // namespace peridotspool::http
