// Package quarantine rejects requests that repeatedly crash the engines that run them, and
// requests with a part in their prompts that does.
//
// A request that crashes every engine is usually retried by its caller, under another ID
// and through any gateway, and each retry takes an engine out of service for seconds
// together with everything else that it runs. The package limits that damage. It does no
// I/O; its parts are:
//
//   - A fingerprint identifies identical requests: same caller, target and body.
//   - A crash detector distinguishes the crash of an engine from a single broken
//     connection.
//   - A table counts the engine crashes per fingerprint, both those seen by this gateway
//     and those that other gateways report. Fingerprints with too many crashes are
//     quarantined for a while.
//   - A second table does the same for the parts that prompts share. Requests with a part that
//     crashes engines may all be different, and a part is in sound prompts as well, so it
//     takes more evidence: see Parts.
//
// Engines also crash under requests that aren't the cause, above all when many engines
// lose power at once. Such a request has normally seen a single crash, or is answered
// when it runs on another engine, which clears all crashes counted against it.
package quarantine
