package api

import (
	"net/http"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

func (a *API) checkNote(r *http.Request, _ Identity) (proto.Message, error) {
	note := new(pb.ReleaseNote)
	if err := readMessage(r, note); err != nil {
		return nil, err
	}
	return a.cluster.CheckNote(r.Context(), note)
}

func (a *API) applyNote(r *http.Request, identity Identity) (proto.Message, error) {
	note := new(pb.ReleaseNote)
	if err := readMessage(r, note); err != nil {
		return nil, err
	}
	if note.Author == "" {
		note.Author = identity.Name
	}
	return a.cluster.ApplyNote(r.Context(), note)
}

func (a *API) noteStatus(r *http.Request, _ Identity) (proto.Message, error) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		return nil, errs.ErrInvalid.With("note number %q is not a whole number", r.PathValue("number"))
	}
	return a.cluster.NoteStatus(r.Context(), number)
}
