// Package pssettings reads the settings of one VM process.
//
// Settings say where a VM is and whom it talks to; what it does is said by the
// configuration. All faults of a settings file are reported together.
package pssettings

import (
	"net/netip"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/pstoml"
)

// Settings are those of one VM process.
type Settings struct {
	// Name is the VM's name in the configuration.
	Name psdoc.Name `toml:"name"`
	// Region and FailureDomain say where the VM is.
	Region        psdoc.Name `toml:"region"`
	FailureDomain psdoc.Name `toml:"failureDomain"`
	// Callers, Peer and Operator are the addresses to listen on.
	Callers  netip.AddrPort `toml:"callers"`
	Peer     netip.AddrPort `toml:"peer"`
	Operator netip.AddrPort `toml:"operator"`
	// Platform is the address of the platform's service.
	Platform netip.AddrPort `toml:"platform"`
	// Peers lists peer addresses to ask for the configuration at the start.
	Peers []netip.AddrPort `toml:"peers"`
	// TokenFile holds the bearer token of operators.
	TokenFile string `toml:"tokenFile"`
	// TLS names the files for callers and peers; without them connections are plain.
	TLS TLS `toml:"tls"`
	// Log says what is logged and how.
	Log Log `toml:"log"`
}

// TLS names the files of certificates and keys.
type TLS struct {
	// CallerCertificate and CallerKey secure the callers' address.
	CallerCertificate string `toml:"callerCertificate"`
	CallerKey         string `toml:"callerKey"`
	// PeerCertificate, PeerKey and PeerAuthority secure the links between VMs.
	PeerCertificate string `toml:"peerCertificate"`
	PeerKey         string `toml:"peerKey"`
	PeerAuthority   string `toml:"peerAuthority"`
}

// Log says what is logged and how.
type Log struct {
	// Level is trace, debug, info, warn or error; info when absent.
	Level string `toml:"level"`
	// Format is text or json; text when absent.
	Format string `toml:"format"`
}

// Load reads a settings file. Its error is of type pstoml.Findings where the file has faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings")
	}
	return Parse(path, data)
}

// Parse reads settings from a file's content.
func Parse(file string, data []byte) (*Settings, error) {
	s, source, findings := pstoml.Decode[Settings](file, data)
	if source != nil {
		findings = append(findings, s.check(source)...)
	}
	if len(findings) > 0 {
		findings.Sort()
		return nil, findings
	}
	return &s, nil
}

func (s *Settings) check(source *pstoml.Source) pstoml.Findings {
	var findings pstoml.Findings
	require := func(condition bool, path, message string) {
		if !condition && !source.Faulty(path) {
			findings = append(findings, source.Finding(path, message))
		}
	}
	require(s.Name != "", "name", "the VM needs its name")
	require(s.Region != "", "region", "the VM needs its region")
	require(s.FailureDomain != "", "failureDomain", "the VM needs its failureDomain")
	require(s.Callers.IsValid(), "callers", "the VM needs the address callers")
	require(s.Peer.IsValid(), "peer", "the VM needs the address peer")
	require(s.Operator.IsValid(), "operator", "the VM needs the address operator")
	require(s.Platform.IsValid(), "platform", "the VM needs the address platform")
	require(s.TokenFile != "", "tokenFile", "the VM needs a tokenFile for operators")
	require((s.TLS.CallerCertificate == "") == (s.TLS.CallerKey == ""), "tls.callerCertificate", "callerCertificate and callerKey go together")
	peers := []bool{s.TLS.PeerCertificate == "", s.TLS.PeerKey == "", s.TLS.PeerAuthority == ""}
	require(peers[0] == peers[1] && peers[1] == peers[2], "tls.peerCertificate", "peerCertificate, peerKey and peerAuthority go together")
	require(s.Log.Level == "" || hclog.LevelFromString(s.Log.Level) != hclog.NoLevel, "log.level", "the log level is trace, debug, info, warn or error")
	require(s.Log.Format == "" || s.Log.Format == "text" || s.Log.Format == "json", "log.format", "the log format is text or json")
	return findings
}

// Logger makes the process's logger.
func (l Log) Logger(name psdoc.Name) hclog.Logger {
	level := hclog.LevelFromString(l.Level)
	if level == hclog.NoLevel {
		level = hclog.Info
	}
	return hclog.New(&hclog.LoggerOptions{Name: string(name), Level: level, JSONFormat: l.Format == "json", Output: os.Stderr})
}
