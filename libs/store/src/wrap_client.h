#pragma once

#include <memory>
#include <string>
#include <utility>

#include "pomelomill/store/call_counter.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

/// Fills every hook by `policy.Run<T>(call, wait, done, start)`, where
/// `start(done)` calls `inner`, `wait` is the time that the call is meant to
/// take (watches only), and T is the type of the result. The policy is copied
/// into each hook.
template <typename Policy>
StoreClient WrapClient(StoreClient inner, Policy policy) {
  const auto target = std::make_shared<const StoreClient>(std::move(inner));
  StoreClient client;
  client.get = [=](const std::string& key, Duration timeout,
                   StoreCallback<StoreItem> done) {
    policy.template Run<StoreItem>(
        StoreCallKind::kGet, Duration(0), std::move(done),
        [&](auto then) { target->get(key, timeout, std::move(then)); });
  };
  client.put = [=](const std::string& key, const std::string& value,
                   Version expect, const LeaseId& lease, Duration timeout,
                   StoreCallback<Version> done) {
    policy.template Run<Version>(
        StoreCallKind::kPut, Duration(0), std::move(done), [&](auto then) {
          target->put(key, value, expect, lease, timeout, std::move(then));
        });
  };
  client.erase = [=](const std::string& key, Version expect, Duration timeout,
                     StoreCallback<Version> done) {
    policy.template Run<Version>(
        StoreCallKind::kErase, Duration(0), std::move(done), [&](auto then) {
          target->erase(key, expect, timeout, std::move(then));
        });
  };
  client.watch = [=](const std::string& key, Version after, Duration wait,
                     StoreCallback<StoreItem> done) {
    policy.template Run<StoreItem>(
        StoreCallKind::kWatch, wait, std::move(done),
        [&](auto then) { target->watch(key, after, wait, std::move(then)); });
  };
  client.range = [=](const std::string& prefix, Duration timeout,
                     StoreCallback<std::vector<StoreItem>> done) {
    policy.template Run<std::vector<StoreItem>>(
        StoreCallKind::kRange, Duration(0), std::move(done),
        [&](auto then) { target->range(prefix, timeout, std::move(then)); });
  };
  client.grant_lease = [=](Duration ttl, Duration timeout,
                           StoreCallback<LeaseId> done) {
    policy.template Run<LeaseId>(
        StoreCallKind::kGrantLease, Duration(0), std::move(done),
        [&](auto then) { target->grant_lease(ttl, timeout, std::move(then)); });
  };
  client.renew_lease = [=](const LeaseId& lease, Duration timeout,
                           StoreCallback<LeaseId> done) {
    policy.template Run<LeaseId>(StoreCallKind::kRenewLease, Duration(0),
                                 std::move(done), [&](auto then) {
                                   target->renew_lease(lease, timeout,
                                                       std::move(then));
                                 });
  };
  client.revoke_lease = [=](const LeaseId& lease, Duration timeout,
                            StoreCallback<LeaseId> done) {
    policy.template Run<LeaseId>(StoreCallKind::kRevokeLease, Duration(0),
                                 std::move(done), [&](auto then) {
                                   target->revoke_lease(lease, timeout,
                                                        std::move(then));
                                 });
  };
  return client;
}

}  // namespace pomelomill
