package pstls_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/connection/pstls"
	"persimmonstep/internal/version/psdoc"
)

func authority(t *testing.T) *pstls.Authority {
	a, err := pstls.NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	return a
}

func issue(t *testing.T, a *pstls.Authority, n psdoc.Name) pstls.Source {
	m, err := a.Issue(n)
	qt.Assert(t, err, qt.IsNil)
	return pstls.Fixed{Value: m}
}

func newHub(t *testing.T, n psdoc.Name, w pspeer.Wrapper) *pspeer.Hub {
	ctx, cancel := context.WithCancel(context.Background())
	h, clean := pspeer.New(ctx, n, w)
	t.Cleanup(func() {
		clean()
		cancel()
	})
	h.Handle("who", func(_ context.Context, from psdoc.Name, _ json.RawMessage) (any, error) { return from, nil })
	return h
}

func serve(t *testing.T, h *pspeer.Hub, n psdoc.Name) pspeer.Peer {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go h.Serve(l)
	return pspeer.Peer{Name: n, Address: netip.MustParseAddrPort(l.Addr().String())}
}

func TestLinksAdmitOnlyTheNamedVM(t *testing.T) {
	own, other := authority(t), authority(t)
	known := func(n psdoc.Name) bool { return n != "stranger" }
	to := serve(t, newHub(t, "b", pstls.Peers{Source: issue(t, own, "b"), Known: known}), "b")
	tests := []struct {
		name, says psdoc.Name
		wrapper    pspeer.Wrapper
		to         psdoc.Name
		admitted   bool
	}{
		{"right", "a", pstls.Peers{Source: issue(t, own, "a")}, "b", true},
		{"another VM's name", "c", pstls.Peers{Source: issue(t, own, "a")}, "b", false},
		{"wildcard", "a", pstls.Peers{Source: issue(t, own, "*")}, "b", false},
		{"another authority", "a", pstls.Peers{Source: issue(t, other, "a")}, "b", false},
		{"not in the plan", "stranger", pstls.Peers{Source: issue(t, own, "stranger")}, "b", false},
		{"plain", "a", pspeer.Plain{}, "b", false},
		{"address of another VM", "a", pstls.Peers{Source: issue(t, own, "a")}, "c", false},
	}
	for _, tt := range tests {
		t.Run(string(tt.name), func(t *testing.T) {
			var from psdoc.Name
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err := newHub(t, tt.says, tt.wrapper).Call(ctx, pspeer.Peer{Name: tt.to, Address: to.Address}, "who", 1, &from)
			qt.Assert(t, err == nil, qt.Equals, tt.admitted, qt.Commentf("%v", err))
			if tt.admitted {
				qt.Assert(t, from, qt.Equals, tt.says)
			}
		})
	}
}

func TestShortCallsDoNotWaitForADial(t *testing.T) {
	// The other end takes connections and never answers the handshake.
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	h := newHub(t, "a", pstls.Peers{Source: issue(t, authority(t), "a")})
	to := pspeer.Peer{Name: "b", Address: netip.MustParseAddrPort(l.Addr().String())}
	patient := make(chan error, 1)
	go func() { patient <- h.Call(t.Context(), to, "who", 1, nil) }()
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		qt.Check(t, h.Call(ctx, to, "who", 1, nil), qt.ErrorIs, context.DeadlineExceeded)
		cancel()
	}
	select {
	case <-patient:
		t.Error("the handshake was given up before the short calls were")
	default:
	}
	qt.Assert(t, <-patient, qt.ErrorMatches, "reach VM b: secure the link: .*")
}

func TestPeerPortWantsACertificate(t *testing.T) {
	a := authority(t)
	to := serve(t, newHub(t, "b", pstls.Peers{Source: issue(t, a, "b")}), "b")
	pool := x509.NewCertPool()
	c, err := x509.ParseCertificate(a.Certificate())
	qt.Assert(t, err, qt.IsNil)
	pool.AddCert(c)
	conn, err := tls.Dial("tcp", to.Address.String(), &tls.Config{RootCAs: pool, ServerName: "b", MinVersion: tls.VersionTLS13}) //nolint:noctx // a test's dial
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close() //nolint:errcheck // the other end has closed it
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadAll(conn)
	qt.Assert(t, err, qt.ErrorMatches, ".*certificate required")
}

// write puts an authority and a certificate of it into files.
func write(t *testing.T, dir string, a *pstls.Authority, n psdoc.Name, at time.Time) (certificate, key, ca string) {
	m, err := a.Issue(n)
	qt.Assert(t, err, qt.IsNil)
	der, err := x509.MarshalPKCS8PrivateKey(m.Certificate.PrivateKey)
	qt.Assert(t, err, qt.IsNil)
	certificate, key, ca = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")
	for name, b := range map[string]*pem.Block{
		certificate: {Type: "CERTIFICATE", Bytes: m.Certificate.Certificate[0]},
		key:         {Type: "PRIVATE KEY", Bytes: der},
		ca:          {Type: "CERTIFICATE", Bytes: a.Certificate()},
	} {
		qt.Assert(t, os.WriteFile(name, pem.EncodeToMemory(b), 0o600), qt.IsNil)
		qt.Assert(t, os.Chtimes(name, at, at), qt.IsNil)
	}
	return certificate, key, ca
}

func TestCertificatesAreReplacedWhileTheVMRuns(t *testing.T) {
	dir := t.TempDir()
	before, after := authority(t), authority(t)
	began := time.Now()
	var passed atomic.Int64
	certificate, key, ca := write(t, dir, before, "b", began.Add(-time.Hour))
	files, err := pstls.NewFiles(certificate, key, ca, func() time.Time { return began.Add(time.Duration(passed.Load())) })
	qt.Assert(t, err, qt.IsNil)
	to := serve(t, newHub(t, "b", pstls.Peers{Source: files}), "b")
	call := func(a *pstls.Authority) error {
		var from psdoc.Name
		return newHub(t, "a", pstls.Peers{Source: issue(t, a, "a")}).Call(t.Context(), to, "who", 1, &from)
	}
	qt.Assert(t, call(before), qt.IsNil)
	qt.Assert(t, call(after), qt.IsNotNil)
	write(t, dir, after, "b", began)
	passed.Add(int64(2 * time.Second))
	qt.Assert(t, call(after), qt.IsNil)
	qt.Assert(t, call(before), qt.IsNotNil)
	// Half a replacement leaves what was there.
	qt.Assert(t, os.WriteFile(key, []byte("not a key"), 0o600), qt.IsNil)
	passed.Add(int64(2 * time.Second))
	qt.Assert(t, call(after), qt.IsNil)
	_, err = pstls.NewFiles(certificate, key, ca, time.Now)
	qt.Assert(t, err, qt.ErrorMatches, "read the certificate: .*")
}
