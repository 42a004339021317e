package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/go-resty/resty/v2"
	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// WorkerTransport sends the messages of a worker to an entry VM.
type WorkerTransport interface {
	Register(ctx context.Context, address string, request *pb.RegisterWorkerRequest) (*pb.RegisterWorkerAnswer, error)
	Heartbeat(ctx context.Context, address string, heartbeat *pb.WorkerHeartbeat) (*pb.WorkerHeartbeatAnswer, error)
}

// maxAnswerBodyBytes bounds the size of an answer.
const maxAnswerBodyBytes = 16 << 20

var errRefused = errors.New("refused by the entry VM")

// httpTransport sends messages as JSON over HTTP, authenticated by a bearer token.
type httpTransport struct{ client *resty.Client }

// NewHTTPTransport returns a transport that sends the bearer token with each request. It never retries.
func NewHTTPTransport(token string, client *http.Client) WorkerTransport {
	return &httpTransport{resty.NewWithClient(client).SetAuthToken(token).SetDoNotParseResponse(true)}
}

// Register implements WorkerTransport.
func (t *httpTransport) Register(ctx context.Context, address string, request *pb.RegisterWorkerRequest) (*pb.RegisterWorkerAnswer, error) {
	answer := &pb.RegisterWorkerAnswer{}
	return answer, t.post(ctx, address+"/v1/workers/register", request, answer)
}

// Heartbeat implements WorkerTransport.
func (t *httpTransport) Heartbeat(ctx context.Context, address string, heartbeat *pb.WorkerHeartbeat) (*pb.WorkerHeartbeatAnswer, error) {
	answer := &pb.WorkerHeartbeatAnswer{}
	return answer, t.post(ctx, address+"/v1/workers/heartbeat", heartbeat, answer)
}

func (t *httpTransport) post(ctx context.Context, url string, request, answer proto.Message) error {
	if !strings.Contains(url, "://") { // registration answers list entry VMs as IP:port
		url = "http://" + url
	}
	encoded, err := protojson.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request to %s: %w", url, err)
	}
	response, err := t.client.R().SetContext(ctx).SetHeader("Content-Type", "application/json").SetBody(encoded).Post(url)
	if err != nil {
		return fmt.Errorf("post to %s: %w", url, err)
	}
	defer func() { _ = response.RawBody().Close() }()
	body, err := io.ReadAll(io.LimitReader(response.RawBody(), maxAnswerBodyBytes))
	if err != nil {
		return fmt.Errorf("read answer of %s: %w", url, err)
	}
	if response.StatusCode() != http.StatusOK {
		return fmt.Errorf("%s answered with status %d: %s: %w", url, response.StatusCode(), bytes.TrimSpace(body), errRefused)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, answer); err != nil {
		return fmt.Errorf("decode answer of %s: %w", url, err)
	}
	return nil
}
