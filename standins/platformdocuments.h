#pragma once

#include "plainbackend.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chervilpaddle::standins {

//! A route as the users' platform publishes it.
struct PublishedRoute
{
    std::string name;
    bool isIdempotent = true;
    std::string prefix;
    std::string service;
    int priority = 0;
    double timeoutSeconds = 1.5;
};

//! What the users' platform publishes about clients and routes.
struct PublishedConfiguration
{
    int version = 1;
    std::string host;
    std::vector<PublishedRoute> routes;
    std::vector<std::string> services;
    nlohmann::json limits = nlohmann::json::object();
};

//! The configuration in the form in which the store holds it.
std::string configurationDocument(const PublishedConfiguration &configuration);

//! The store's entry of a backend server. `state` is "ready" or "draining".
nlohmann::json instanceDocument(const PlainBackend::Options &backend, const std::string &dataCentre, const std::string &state);

} // namespace chervilpaddle::standins
