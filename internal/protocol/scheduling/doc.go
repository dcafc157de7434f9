// Package scheduling groups the packages that decide which backend server a request goes to, and
// when. It has no code of its own.
//
// Entries that get their servers and routes from control replicas:
//
//   - prefillqueue decides which waiting prompt is sent next and which ones are refused;
//   - placement chooses the server: filters exclude servers, then fixed scores or, where
//     cost-aware placement is on, expected costs rank the others;
//   - cost learns what a request will cost, and how fast each server is;
//   - prefixdir records which engine holds the KV cache of a shared prefix;
//   - phaseplan decides how many engines prefill and how many decode.
//
// Entries that run from a settings tree:
//
//   - routing chooses the engine;
//   - roleplan decides the engines' roles, by the fluid approximation in package fluid and the
//     model of an engine in package speed;
//   - loaddigest encodes an entry's load for others.
package scheduling
