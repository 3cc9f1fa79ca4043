#pragma once

#include "peer.pb.h"
#include "pomelomill/base/result.h"
#include "pomelomill/peer/peer_messages.h"

// Conversion between the messages of the interface and their protobuf form.
// FromWire returns kBadMessage when a required field is missing or a list or
// name is longer than any that ToWire makes.

namespace pomelomill::wire {

void ToWire(const ExchangeMessage& from, peer::ExchangeMessage* to);
void ToWire(const FetchStateRequest& from, peer::FetchStateRequest* to);
void ToWire(const FetchStateReply& from, peer::FetchStateReply* to);
void ToWire(const RunKeyedRequest& from, peer::RunKeyedRequest* to);
void ToWire(const RunKeyedReply& from, peer::RunKeyedReply* to);
void ToWire(const LendSlotsRequest& from, peer::LendSlotsRequest* to);
void ToWire(const LendSlotsReply& from, peer::LendSlotsReply* to);
void ToWire(const ReturnSlotsRequest& from, peer::ReturnSlotsRequest* to);
void ToWire(const ReturnSlotsReply& from, peer::ReturnSlotsReply* to);

Result<ExchangeMessage> FromWire(const peer::ExchangeMessage& from);
Result<FetchStateRequest> FromWire(const peer::FetchStateRequest& from);
Result<FetchStateReply> FromWire(const peer::FetchStateReply& from);
Result<RunKeyedRequest> FromWire(const peer::RunKeyedRequest& from);
Result<RunKeyedReply> FromWire(const peer::RunKeyedReply& from);
Result<LendSlotsRequest> FromWire(const peer::LendSlotsRequest& from);
Result<LendSlotsReply> FromWire(const peer::LendSlotsReply& from);
Result<ReturnSlotsRequest> FromWire(const peer::ReturnSlotsRequest& from);
Result<ReturnSlotsReply> FromWire(const peer::ReturnSlotsReply& from);

}  // namespace pomelomill::wire
