package httplimit

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrTooLarge means that a body is larger than the limit.
var ErrTooLarge = errors.New("the body is too large")

// stepBytes is the size of the pieces in which a body is read.
const stepBytes = 16 << 10

// ReadBody reads a JSON body of at most limit bytes. It takes memory for it, and for its decoding, from the account of the
// connection; both are given back when the request has been answered. Its error is ErrTooLarge, ErrExhausted, ErrDisconnected or
// an error of the connection.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	account := accountOf(r.Context())
	body, err := readSteps(r, account, limit)
	if err != nil {
		return nil, err
	}
	return body, Hold(r, costOfDecoding(body))
}

// Hold takes memory for a request until it has been answered. It lets a single request pass that needs most of the memory.
func Hold(r *http.Request, bytes int64) error {
	account := accountOf(r.Context())
	if account == nil {
		return nil
	}
	return account.hold(min(bytes, account.budget.maxBytes/2))
}

// readSteps reads a body in pieces and joins them at its end, so that an unfinished body takes no more than what has arrived.
func readSteps(r *http.Request, account *Account, limit int64) ([]byte, error) {
	var steps [][]byte
	total := int64(0)
	for {
		size := int64(stepBytes)
		if r.ContentLength >= 0 {
			size = min(size, r.ContentLength-total+1)
		}
		if err := account.hold(size); err != nil {
			return nil, err
		}
		step, err := readStep(r.Body, size)
		total += int64(len(step))
		steps = append(steps, step)
		switch {
		case total > limit:
			return nil, tooLarge(limit)
		case err == io.EOF:
			return join(account, steps, total)
		case err != nil:
			return nil, err
		}
	}
}

// readStep reads size bytes, or fewer with an error.
func readStep(source io.Reader, size int64) ([]byte, error) {
	step, n := make([]byte, size), 0
	for n < len(step) {
		read, err := source.Read(step[n:])
		n += read
		if err != nil {
			return step[:n], err
		}
	}
	return step, nil
}

// join returns the pieces as one.
func join(account *Account, steps [][]byte, total int64) ([]byte, error) {
	if len(steps) == 1 {
		return steps[0], nil
	}
	if err := account.hold(total); err != nil {
		return nil, err
	}
	body := bytes.Join(steps, nil)
	account.release(total)
	return body, nil
}

func tooLarge(limit int64) error {
	return fmt.Errorf("%w: it has more than %d bytes", ErrTooLarge, limit)
}
