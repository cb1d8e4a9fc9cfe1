package fleet

import (
	"context"
	"encoding/json"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/credential"
)

// callTimeout bounds a call that must succeed. It is long, so that the test passes on a slow computer too.
const callTimeout = 20 * time.Second

// echoHandler responds to each request with the name of the peer and the method.
type echoHandler struct{}

func (echoHandler) Serve(_ context.Context, p *Peer, method string, _ json.RawMessage) (any, error) {
	return p.Name + " " + method, nil
}

func (echoHandler) PeerDisconnected(*Peer) {}

// failingListener returns an error from the first Accept calls, like a process without free file descriptors.
type failingListener struct {
	net.Listener
	remainingFailures int
}

func (s *failingListener) Accept() (net.Conn, error) {
	if s.remainingFailures > 0 {
		s.remainingFailures--
		return nil, syscall.EMFILE
	}
	return s.Listener.Accept()
}

// startServer runs a server with an echoHandler on l until the test ends.
func startServer(t *testing.T, l net.Listener, secret string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = NewServer(l, newCredential(t, secret, "server"), echoHandler{}).Serve(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

func newCredential(t *testing.T, secret, name string) *credential.Credential {
	t.Helper()
	c, err := credential.New([]byte(secret), name, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A process without free file descriptors stopped serving its fleet port for good: the first error of Accept ended the
// server.
func TestServerKeepsAcceptingAfterAcceptErrors(t *testing.T) {
	l := listen(t)
	startServer(t, &failingListener{Listener: l, remainingFailures: 3}, "secret of this fleet")
	c := NewClient(l.Addr().String(), "1", newCredential(t, "secret of this fleet", "client"), nil, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var got string
	if err := c.Call(ctx, "hear", struct{}{}, &got); err != nil || got != "client hear" {
		t.Errorf("call after three failed accepts: got %q and error %v, want \"client hear\"", got, err)
	}
}

// A process of another fleet must fail the TLS handshake, because its certificate comes from another secret.
func TestServerRejectsClientsWithAnotherSecret(t *testing.T) {
	l := listen(t)
	startServer(t, l, "secret of this fleet")
	c := NewClient(l.Addr().String(), "1", newCredential(t, "another fleet's secret", "client"), nil, nil)
	defer c.Close()
	if err := c.Call(context.Background(), "hear", struct{}{}, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("call with another fleet's secret: got error %v, want %v", err, ErrNotSent)
	}
}
