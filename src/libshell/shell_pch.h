// Precompiled: the libraries whose headers take longest to read.
#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <nlohmann/json.hpp>
