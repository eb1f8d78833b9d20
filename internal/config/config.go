package config

type (
	// Config holds the settings of one host; Load sets absent fields to the value of their default tag.
	Config struct {
		Name          string    `yaml:"name"`
		Environment   string    `yaml:"environment"`
		FailureDomain string    `yaml:"failure_domain"`
		Callers       Callers   `yaml:"callers"`
		Operators     Operators `yaml:"operators"`
		Peers         Peers     `yaml:"fellows"`
		Platform      Platform  `yaml:"platform"`
		Limits        Limits    `yaml:"limits"`
		// StopTimeoutS limits the duration of a graceful shutdown in seconds; 0 waits for every call in flight.
		StopTimeoutS int `yaml:"stop_timeout_s" default:"0"`
		// TraceFile is the file to which one JSON line per call is appended; empty turns it off.
		TraceFile string `yaml:"trace_file"`
		// LogLevel is debug, info, warn or error.
		LogLevel string `yaml:"log_level" default:"info"`
	}

	// Callers holds the address for callers; PublicURL is the URL of this host in the lists of hosts that callers get
	// from any host.
	Callers struct {
		Listen    string `yaml:"listen"`
		PublicURL string `yaml:"public_url"`
		TLS       TLS    `yaml:"tls"`
	}

	// Operators holds the address of the operator API and the hex SHA-256 digests of the operators' keys.
	// An empty Listen turns the API off.
	Operators struct {
		Listen    string   `yaml:"listen"`
		KeySHA256 []string `yaml:"key_sha256"`
		TLS       TLS      `yaml:"tls"`
	}

	// Peers holds the address for other hosts, which connect over QUIC. Advertise is the address that this host sends
	// to them (default: Listen), and Seeds are the hosts that it contacts at its start.
	Peers struct {
		Listen    string   `yaml:"listen"`
		Advertise string   `yaml:"advertise"`
		Seeds     []string `yaml:"seeds"`
		TLS       TLS      `yaml:"tls"`
	}

	// Platform holds the base URLs of the key-value service, the weight store and the service registry.
	Platform struct {
		KVURL      string `yaml:"kv_url"`
		WeightsURL string `yaml:"weights_url"`
		HostsURL   string `yaml:"hosts_url"`
	}

	// Limits holds the limits of one host.
	Limits struct {
		MaxBodyBytes int64 `yaml:"max_body_bytes" default:"4194304"`
		MaxCalls     int   `yaml:"max_calls" default:"2000"`
		// MemoryMB is the memory that the process may use, of which requests and responses take a share.
		MemoryMB int64 `yaml:"memory_mb" default:"1024"`
		// KVWritesPerS limits this host's writes for calls: its share of the key-value service's write budget.
		KVWritesPerS int `yaml:"kv_writes_per_s" default:"20"`
	}

	// TLS names PEM files; CAFile holds the CA certificates that verify the other side.
	TLS struct {
		CertFile string `yaml:"cert_file"`
		KeyFile  string `yaml:"key_file"`
		CAFile   string `yaml:"ca_file"`
	}
)
