// Package outcome defines what an answer says of the work: the outcome, the
// code of a refusal, and how both are written in headers and JSON.
package outcome

import "net/http"

// Header is the response header that holds the outcome.
const Header = "Balsamgauge-Outcome"

// Outcome says what became of a piece of work.
type Outcome string

// The outcomes.
const (
	// Answered work was run and its whole answer is in the response.
	Answered Outcome = "answered"
	// NotRun work was certainly not run.
	NotRun Outcome = "not_run"
	// Unknown work may have been run.
	Unknown Outcome = "unknown"
	// Accepted tasks are in the store and will be run.
	Accepted Outcome = "accepted"
)

// Code says why work was refused or its outcome is unknown.
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

// HTTPStatus returns the HTTP status that goes with a code.
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
		return 499
	default:
		return http.StatusServiceUnavailable
	}
}

// Refusal is the JSON body of an answer that is not the upstream's.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code"`
	Message string  `json:"message"`
}
