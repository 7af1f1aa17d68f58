// Package outcome defines the outcome of a piece of work, the code of a
// refusal, and the encoding of both in headers and JSON.
package outcome

import "net/http"

// Header is the response header that carries the outcome.
const Header = "Balsamgauge-Outcome"

// Outcome is what became of a piece of work.
type Outcome string

// The outcomes.
const (
	// Answered work ran, and its complete response was returned.
	Answered Outcome = "answered"
	// NotRun work is guaranteed not to have run.
	NotRun Outcome = "not_run"
	// Unknown work may or may not have run.
	Unknown Outcome = "unknown"
	// Accepted tasks are in the store and will run.
	Accepted Outcome = "accepted"
)

// Code is the reason why work was refused or its outcome is unknown.
type Code string

// The codes.
const (
	CodeUnauthorized      Code = "unauthorized"
	CodeWrongTeam         Code = "wrong_team"
	CodeUnknownRoute      Code = "unknown_route"
	CodeUnknownTask       Code = "unknown_task"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeOverLimit         Code = "over_limit"
	CodePoolFull          Code = "pool_full"
	CodeDeadlinePassed    Code = "deadline_passed"
	CodeNoFreshConfig     Code = "no_fresh_config"
	CodeStoreUnavailable  Code = "store_unavailable"
	CodeUpstreamFailed    Code = "upstream_failed"
	CodeUpstreamLost      Code = "upstream_lost"
	CodeDuplicate         Code = "duplicate_idempotency_key"
	CodeCancelled         Code = "cancelled"
	CodeShuttingDown      Code = "shutting_down"
	CodeInvalid           Code = "invalid"
	CodeConflict          Code = "conflict"
	CodeNotAccepted       Code = "not_accepted"
	CodeAcceptanceUnknown Code = "acceptance_unknown"
)

// statusClientClosedRequest is the nonstandard status that nginx introduced for
// a client that closed its request.
const statusClientClosedRequest = 499

// HTTPStatus returns the HTTP status of responses with the code.
func (cod Code) HTTPStatus() int {
	switch cod {
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeWrongTeam:
		return http.StatusForbidden
	case CodeUnknownRoute, CodeUnknownTask:
		return http.StatusNotFound
	case CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeOverLimit:
		return http.StatusTooManyRequests
	case CodeDeadlinePassed, CodeUpstreamLost, CodeAcceptanceUnknown:
		return http.StatusGatewayTimeout
	case CodeUpstreamFailed:
		return http.StatusBadGateway
	case CodeDuplicate, CodeConflict:
		return http.StatusConflict
	case CodeInvalid:
		return http.StatusBadRequest
	case CodeCancelled:
		return statusClientClosedRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// Refusal is the JSON body of a response that does not come from an upstream.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code"`
	Message string  `json:"message"`
}
