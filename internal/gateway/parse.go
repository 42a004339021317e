package gateway

import (
	"crypto/rand"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Headers of requests and responses.
const (
	headerDeadline   = "Lentilyard-Deadline-Ms"
	headerIdempotent = "Lentilyard-Idempotent"
	headerContract   = "Lentilyard-Contract"
	headerKey        = "Idempotency-Key"
	headerAttempt    = "Lentilyard-Attempt"
	headerRequestID  = "Lentilyard-Request-Id"
	headerMember     = "Lentilyard-Member"
	headerHolder     = "Lentilyard-Holder"
	headerTarget     = "Lentilyard-Target"
	headerOutcome    = "Lentilyard-Outcome"
	headerReplayed   = "Lentilyard-Replayed"
	// reservedPrefix marks headers that callers and executors cannot pass through the gateway.
	reservedPrefix = "Lentilyard-"

	servicePrefix = "/v1/services/"
)

// call is a request that this entry VM is serving.
type call struct {
	id, member, contract, service string
	method, path                  string
	header                        http.Header
	body                          io.Reader
	// abortRead interrupts a read of body. Nil: body may be read at any time.
	abortRead     func()
	contentLength int64
	idempotent    bool
	key           string
	deadline      time.Time
	weight        uint32
	urgent        bool
	// hops counts how often the request was forwarded.
	hops uint32
	// loadForwarded is set if the request was forwarded because of load; it is not forwarded so again.
	loadForwarded bool
	// intentRecorded is set if the entry VM that forwarded the request has committed its intent.
	intentRecorded bool
	// firstAttempt is set if the caller states that it has not sent the key before.
	firstAttempt bool
	// notRunCertain is set once a not-run outcome is known to cover earlier attempts with the key too: the
	// owner has looked up its record of the key, or no entry VM accepts the key.
	notRunCertain bool
}

// parse validates the request line and headers of a caller's request and returns the call.
func (g *Gateway) parse(r *http.Request, member string) (*call, error) {
	c := &call{member: member, method: r.Method, contentLength: r.ContentLength, body: r.Body}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, errs.ErrInvalid.With("method %s is not supported", r.Method)
	}
	var err error
	if c.service, c.path, err = splitPath(r.URL); err != nil {
		return nil, err
	}
	if c.idempotent, err = isIdempotent(r); err != nil {
		return nil, err
	}
	limit, err := parseDeadline(r.Header, g.config.Limits.Deadline)
	if err != nil {
		return nil, err
	}
	if r.ContentLength > g.config.Limits.MaxBodyBytes {
		return nil, errs.ErrTooLarge.With("the body has %d bytes, the limit is %d", r.ContentLength, g.config.Limits.MaxBodyBytes)
	}
	c.id = rand.Text()
	c.deadline = g.config.Now().Add(limit)
	c.contract = r.Header.Get(headerContract)
	c.key = r.Header.Get(headerKey)
	c.firstAttempt = r.Header.Get(headerAttempt) == "1"
	c.header = executorHeaders(r.Header)
	return c, nil
}

// splitPath returns the service of a URL, and the path and query to send to its executors.
func splitPath(u *url.URL) (service, path string, err error) {
	rest, ok := strings.CutPrefix(u.EscapedPath(), servicePrefix)
	if !ok {
		return "", "", errs.ErrNotFound.With("the path does not begin with %s", servicePrefix)
	}
	service, path, _ = strings.Cut(rest, "/")
	if service, err = url.PathUnescape(service); err != nil || service == "" {
		return "", "", errs.ErrInvalid.With("the path names no service")
	}
	path = "/" + path
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return service, path, nil
}

// isIdempotent reports whether a request may be executed more than once: as stated in its header, or else
// by its method.
func isIdempotent(r *http.Request) (bool, error) {
	switch value := r.Header.Get(headerIdempotent); value {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
	default:
		return false, errs.ErrInvalid.With("%s must be true or false, is %.20q", headerIdempotent, value)
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true, nil
	}
	return false, nil
}

// parseDeadline returns the time that the caller allows for the request, at most limit.
func parseDeadline(h http.Header, limit time.Duration) (time.Duration, error) {
	value := h.Get(headerDeadline)
	if value == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0, errs.ErrInvalid.With("%s must be a whole number of milliseconds above 0, is %.20q", headerDeadline, value)
	}
	if ms > limit.Milliseconds() {
		return limit, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// applyContract sets the contract name, weight and urgency of the call and shortens its deadline to the
// limit of the contract.
func (c *call) applyContract(contract *pb.ResolvedContract, now time.Time) {
	terms := contract.GetWritten().GetTerms()
	c.contract = contract.GetWritten().GetName()
	c.weight = max(terms.GetWeight(), 1)
	c.urgent = terms.GetUrgent()
	if ms := contract.GetResolved().GetDeadlineMs(); ms > 0 {
		if limit := now.Add(time.Duration(ms) * time.Millisecond); limit.Before(c.deadline) {
			c.deadline = limit
		}
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEndHeaders returns a copy of h without hop-by-hop and reserved headers.
func endToEndHeaders(h http.Header) http.Header {
	clean := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(http.CanonicalHeaderKey(name), reservedPrefix) {
			clean[name] = values
		}
	}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			clean.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(clean, name)
	}
	return clean
}

// executorHeaders returns the caller's headers that are sent to an executor. Authorization is left out
// because it holds the caller's bearer token, which is for the entry VM only.
func executorHeaders(h http.Header) http.Header {
	clean := endToEndHeaders(h)
	delete(clean, "Authorization")
	delete(clean, "Expect")
	delete(clean, "Content-Length")
	delete(clean, "Host")
	return clean
}
