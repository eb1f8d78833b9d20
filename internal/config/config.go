package config

type (
	// Config holds the settings of one host; Load sets absent fields to their default tag.
	Config struct {
		Name          string    `yaml:"name"`
		Environment   string    `yaml:"environment"`
		FailureDomain string    `yaml:"failure_domain"`
		Callers       Callers   `yaml:"callers"`
		Operators     Operators `yaml:"operators"`
		Peers         Peers     `yaml:"fellows"`
		Platform      Platform  `yaml:"platform"`
		Limits        Limits    `yaml:"limits"`
		// StopTimeoutS bounds a graceful shutdown in seconds; 0 waits for every call in flight.
		StopTimeoutS int `yaml:"stop_timeout_s" default:"0"`
		// TraceFile receives one JSON line per call; empty writes none.
		TraceFile string `yaml:"trace_file"`
		// LogLevel is debug, info, warn or error.
		LogLevel string `yaml:"log_level" default:"info"`
	}

	// Callers is where callers connect; PublicURL is what address queries return for this host.
	Callers struct {
		Listen    string `yaml:"listen"`
		PublicURL string `yaml:"public_url"`
		TLS       TLS    `yaml:"tls"`
	}

	// Operators is where operators connect, and the hex SHA-256 digests of their keys; empty Listen turns it off.
	Operators struct {
		Listen    string   `yaml:"listen"`
		KeySHA256 []string `yaml:"key_sha256"`
		TLS       TLS      `yaml:"tls"`
	}

	// Peers is where other hosts connect over QUIC; Advertise is the address they are told, Listen by default.
	Peers struct {
		Listen    string   `yaml:"listen"`
		Advertise string   `yaml:"advertise"`
		Seeds     []string `yaml:"seeds"`
		TLS       TLS      `yaml:"tls"`
	}

	// Platform holds the base addresses of the platform's services.
	Platform struct {
		KVURL      string `yaml:"kv_url"`
		WeightsURL string `yaml:"weights_url"`
		HostsURL   string `yaml:"hosts_url"`
	}

	// Limits bounds what one host takes on.
	Limits struct {
		MaxBodyBytes int64 `yaml:"max_body_bytes" default:"4194304"`
		MaxCalls     int   `yaml:"max_calls" default:"2000"`
		// KVWritesPerS is this host's share of the key-value service's write budget for calls.
		KVWritesPerS int `yaml:"kv_writes_per_s" default:"20"`
	}

	// TLS names PEM files; CAFile verifies the other side.
	TLS struct {
		CertFile string `yaml:"cert_file"`
		KeyFile  string `yaml:"key_file"`
		CAFile   string `yaml:"ca_file"`
	}
)
