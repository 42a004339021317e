package api

import (
	"errors"
	"net/http"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/httplimit"
)

// maxJSONBytes limits the body of an API call. A release note with 1,000 contracts takes about 400 KB.
const maxJSONBytes = 4 << 20

var errNoRoute = &errs.Error{Code: "no-route", Status: http.StatusNotFound, Outcome: errs.OutcomeNotRun,
	Remedy: "see the API page for the resources and methods"}

// authenticate returns the identity of the request's bearer token. It returns errs.ErrUnauthenticated if the token is
// missing or unknown and errs.ErrForbidden if it has none of the roles.
func (a *API) authenticate(r *http.Request, roles ...string) (Identity, error) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || token == "" {
		return Identity{}, errs.ErrUnauthenticated
	}
	identity, known := a.auth.Authenticate(token)
	if !known {
		return Identity{}, errs.ErrUnauthenticated
	}
	if !slices.Contains(roles, identity.Role) {
		return Identity{}, errs.ErrForbidden.With("role %s may not use %s %s", identity.Role, r.Method, r.URL.Path)
	}
	return identity, nil
}

// readMessage decodes the JSON body of a request. Unknown fields are an error.
func readMessage(r *http.Request, into proto.Message) error {
	body, err := httplimit.ReadBody(r, maxJSONBytes)
	switch {
	case errors.Is(err, httplimit.ErrTooLarge):
		return errs.ErrTooLarge.With("%w", err)
	case errors.Is(err, httplimit.ErrExhausted):
		return errs.ErrBusy.With("%w", err)
	case err != nil:
		return errs.ErrInvalid.With("read body: %w", err)
	}
	if err := protojson.Unmarshal(body, into); err != nil {
		return errs.ErrInvalid.With("decode JSON body: %w", err)
	}
	return nil
}

// writeMessage writes m as the JSON body of a successful answer.
func writeMessage(w http.ResponseWriter, m proto.Message) {
	encoded, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		writeError(w, errs.ErrInternal.With("encode answer: %w", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has closed the connection, so it cannot be reported to the client.
	_, _ = w.Write(encoded)
}

// writeError writes err as the JSON body of an answer with the HTTP status of the error, or 500 if it has none.
func writeError(w http.ResponseWriter, err error) {
	typed := errs.From(err)
	encoded, encodeErr := protojson.Marshal(typed.Proto())
	if encodeErr != nil {
		http.Error(w, typed.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if typed.Outcome != errs.OutcomeNone {
		w.Header().Set("Lentilyard-Outcome", string(typed.Outcome))
	}
	status := typed.Status
	if status < http.StatusBadRequest {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
