// Package apierror defines the result codes that clients and operators receive
// and the error type that carries one.
package apierror

import "net/http"

// Code numbers a result. Numbers never change meaning; docs/CODES.md is
// written from Codes.
type Code uint32

// Result codes. 1xxx concern the request, 2xxx limits and capacity, 3xxx the
// outcome of calls and streams, 4xxx orders, 5xxx control and state.
const (
	OK Code = 0

	BadJSON          Code = 1001
	UnknownField     Code = 1002
	BodyTooLarge     Code = 1003
	MissingKey       Code = 1004
	UnknownKey       Code = 1005
	UnknownService   Code = 1006
	BadDeadline      Code = 1007
	MissingField     Code = 1008
	UnknownPath      Code = 1009
	BadMethod        Code = 1010
	HeaderTooLarge   Code = 1011
	SlowBody         Code = 1012
	WrongServiceKind Code = 1013
	BadField         Code = 1014
	UnknownRoute     Code = 1015

	QuotaExceeded    Code = 2001
	ShareExceeded    Code = 2002
	QueueFull        Code = 2003
	NoServer         Code = 2004
	DeadlineTooShort Code = 2005
	NotRuling        Code = 2006
	FrontLeaving     Code = 2007
	NoPlan           Code = 2008
	BudgetSpent      Code = 2009
	NoSheet          Code = 2010

	NotRun         Code = 3001
	OutcomeUnknown Code = 3002
	DeadlinePassed Code = 3003
	StreamCut      Code = 3004
	BadAnswer      Code = 3005
	KeyRevoked     Code = 3006
	CallerGone     Code = 3007
	StreamNotBegun Code = 3008

	BaseMoved       Code = 4001
	OutcomePending  Code = 4002
	InvalidSheet    Code = 4003
	SheetTooLarge   Code = 4004
	OperatorUnknown Code = 4005
	UnknownZone     Code = 4006
	UnknownMember   Code = 4007
	InvalidChange   Code = 4008
	OrderIDReused   Code = 4009
	UnknownVersion  Code = 4010

	NoMajority      Code = 5001
	CoreAmnesiac    Code = 5002
	CoreBlank       Code = 5003
	DiskFull        Code = 5004
	CoreUnreachable Code = 5005
	WrongFormation  Code = 5006
	BadRecord       Code = 5007
	NotCore         Code = 5008
	BadSecret       Code = 5009
	VersionBehind   Code = 5010
	Internal        Code = 5099
	BadSetting      Code = 5100
	NotFound        Code = 5101
)

// RetryAdvice is what a client should do after a result.
type RetryAdvice string

// Retry advice.
const (
	RetryNo    RetryAdvice = "no"    // the same request will get the same answer
	RetryLater RetryAdvice = "later" // safe to send again, not before retry_after_ms
	RetrySame  RetryAdvice = "same"  // send the same order id again: it is accepted once
	RetryCheck RetryAdvice = "check" // the call may have run: find out before sending again
)

// CodeInfo describes one result code.
type CodeInfo struct {
	Code   Code
	Name   string
	Status int // HTTP status
	Retry  RetryAdvice
	Help   string
}

// Codes is the table of result codes, in the order of their numbers.
var Codes = []CodeInfo{
	{OK, "ok", http.StatusOK, RetryNo, "The request was met."},
	{BadJSON, "bad_json", http.StatusBadRequest, RetryNo, "The body is not one JSON value of the expected shape."},
	{UnknownField, "unknown_field", http.StatusBadRequest, RetryNo, "The body has a field that the call does not know."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RetryNo, "The body is over the bound of its listener."},
	{MissingKey, "missing_key", http.StatusUnauthorized, RetryNo, "The request carries no key."},
	{UnknownKey, "unknown_key", http.StatusForbidden, RetryNo, "The key belongs to no tenant of the sheet in force."},
	{UnknownService, "unknown_service", http.StatusNotFound, RetryNo, "The sheet in force has no such service."},
	{BadDeadline, "bad_deadline", http.StatusBadRequest, RetryNo, "The deadline is not a number of milliseconds within its bounds."},
	{MissingField, "missing_field", http.StatusBadRequest, RetryNo, "A field that the call needs is missing."},
	{UnknownPath, "unknown_path", http.StatusNotFound, RetryNo, "No call is declared at this path."},
	{BadMethod, "bad_method", http.StatusMethodNotAllowed, RetryNo, "The call does not take this method."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, RetryNo, "A header is over its bound."},
	{SlowBody, "slow_body", http.StatusRequestTimeout, RetryNo, "The body did not arrive within its bound of time."},
	{WrongServiceKind, "wrong_service_kind", http.StatusBadRequest, RetryNo, "A prompt was sent to a web service, or a one-shot to a model service."},
	{BadField, "bad_field", http.StatusBadRequest, RetryNo, "A field has a value outside its bounds."},
	{UnknownRoute, "unknown_route", http.StatusNotFound, RetryNo, "The sheet in force has no route for the host and path."},
	{QuotaExceeded, "quota_exceeded", http.StatusTooManyRequests, RetryLater, "The tenant's allowance is spent."},
	{ShareExceeded, "share_exceeded", http.StatusTooManyRequests, RetryLater, "The tenant's count is out of reach and this node's share of the allowance is spent."},
	{QueueFull, "pending_full", http.StatusServiceUnavailable, RetryLater, "The pending requests are at their bound."},
	{NoServer, "no_server", http.StatusServiceUnavailable, RetryLater, "No server can take the request now."},
	{DeadlineTooShort, "deadline_too_short", http.StatusServiceUnavailable, RetryLater, "The deadline would pass before a server could answer."},
	{NotRuling, "not_ruling", http.StatusServiceUnavailable, RetryLater, "This node cannot be sure to hold the newest configuration; ask another."},
	{FrontLeaving, "front_leaving", http.StatusServiceUnavailable, RetryLater, "This node is being taken away; ask another."},
	{NoPlan, "no_plan", http.StatusServiceUnavailable, RetryLater, "No plan has reached this node yet."},
	{BudgetSpent, "budget_spent", http.StatusServiceUnavailable, RetryLater, "The budget for retries is spent."},
	{NoSheet, "no_sheet", http.StatusServiceUnavailable, RetryLater, "No sheet has reached this node yet."},
	{NotRun, "not_run", http.StatusServiceUnavailable, RetryLater, "The call has not run and will not run."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, RetryCheck, "The call may have run; it was not sent again."},
	{DeadlinePassed, "deadline_passed", http.StatusGatewayTimeout, RetryLater, "The deadline passed before the first event."},
	{StreamCut, "stream_cut", http.StatusBadGateway, RetryLater, "The stream ended before its final event."},
	{BadAnswer, "bad_answer", http.StatusBadGateway, RetryLater, "The server's answer was not whole or not this request's."},
	{KeyRevoked, "key_revoked", http.StatusForbidden, RetryNo, "The key was revoked while the stream ran."},
	{CallerGone, "caller_gone", 499, RetryNo, "The caller closed the connection."},
	{StreamNotBegun, "stream_not_begun", http.StatusServiceUnavailable, RetryLater, "No server began the stream; no event was passed on."},
	{BaseMoved, "base_moved", http.StatusConflict, RetryNo, "Another order on the same base epoch won; read back and build on that."},
	{OutcomePending, "outcome_pending", http.StatusAccepted, RetrySame, "The order is not yet known to be in force; send it again with its id."},
	{InvalidSheet, "invalid_sheet", http.StatusUnprocessableEntity, RetryNo, "The sheet breaks a rule; nothing was kept."},
	{SheetTooLarge, "sheet_too_large", http.StatusRequestEntityTooLarge, RetryNo, "The sheet is over its bound; nothing was kept."},
	{OperatorUnknown, "operator_unknown", http.StatusForbidden, RetryNo, "The key belongs to no operator."},
	{UnknownZone, "unknown_locality", http.StatusNotFound, RetryNo, "No server or node is known in the locality."},
	{UnknownMember, "unknown_member", http.StatusNotFound, RetryNo, "The roster has no such member."},
	{InvalidChange, "invalid_change", http.StatusUnprocessableEntity, RetryNo, "A change names no cell of the sheet or gives it no valid value."},
	{OrderIDReused, "order_id_reused", http.StatusConflict, RetryNo, "The order id was used for another order."},
	{UnknownVersion, "unknown_epoch", http.StatusNotFound, RetryNo, "The epoch is not kept in the history."},
	{NoMajority, "no_majority", http.StatusServiceUnavailable, RetrySame, "No majority of the cores answered."},
	{CoreAmnesiac, "core_amnesiac", http.StatusServiceUnavailable, RetrySame, "The core's disk was lost and it is rebuilding."},
	{CoreBlank, "core_blank", http.StatusServiceUnavailable, RetrySame, "The cores have not formed yet."},
	{DiskFull, "disk_full", http.StatusInsufficientStorage, RetrySame, "The core's disk has only its reserve left."},
	{CoreUnreachable, "core_unreachable", http.StatusServiceUnavailable, RetrySame, "No core could be reached."},
	{WrongFormation, "wrong_formation", http.StatusConflict, RetryNo, "The message belongs to another formation."},
	{BadRecord, "bad_record", http.StatusInternalServerError, RetryNo, "A record on disk before the last one fails its checksum."},
	{NotCore, "not_core", http.StatusMisdirectedRequest, RetryLater, "This process is not a core."},
	{BadSecret, "bad_secret", http.StatusForbidden, RetryNo, "The fleet's secret does not match."},
	{VersionBehind, "epoch_behind", http.StatusConflict, RetryLater, "The member has not confirmed the core's epoch."},
	{Internal, "internal", http.StatusInternalServerError, RetryCheck, "A fault of the program; see the log event."},
	{BadSetting, "bad_setting", http.StatusUnprocessableEntity, RetryNo, "A setting is unknown or fails its check."},
	{NotFound, "not_found", http.StatusNotFound, RetryNo, "Nothing is kept under this name."},
}

var infoByCode = func() map[Code]CodeInfo {
	byCode := make(map[Code]CodeInfo, len(Codes))
	for _, info := range Codes {
		byCode[info.Code] = info
	}
	return byCode
}()

// Info returns the table's row of a code; that of Internal for an unknown one.
func (c Code) Info() CodeInfo {
	if info, ok := infoByCode[c]; ok {
		return info
	}
	return infoByCode[Internal]
}

func (c Code) String() string { return c.Info().Name }
