package control

import (
	"testing"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Guards against a submission that is assigned to a queue with a shorter prefix or of another host.
func TestQueueMatchUsesLongestPrefix(t *testing.T) {
	config := &pb.ServiceConfig{Queues: []*pb.Queue{
		{Name: "root", Host: "a.example", Prefix: "/"}, {Name: "long", Host: "a.example", Prefix: "/q/long/"},
		{Name: "short", Host: "a.example", Prefix: "/q/"}, {Name: "other", Host: "b.example", Prefix: "/q/long/er/"},
	}}
	for _, c := range []struct{ host, path, queue, rest string }{
		{"a.example", "/q/1", "short", "1"}, {"a.example", "/q/long/1", "long", "1"}, {"A.Example", "/q/long/er/1", "long", "er/1"},
		{"a.example", "/x", "root", "x"}, {"a.example", "/q/", "short", ""}, {"c.example", "/q/1", "", ""}, {"b.example", "/q/1", "", ""},
	} {
		queue, rest := matchQueue(config, c.host, c.path)
		if queue.GetName() != c.queue || rest != c.rest {
			t.Errorf("%s%s: queue %q and %q instead of %q and %q", c.host, c.path, queue.GetName(), rest, c.queue, c.rest)
		}
	}
}
