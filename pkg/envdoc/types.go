package envdoc

type (
	// Doc describes one environment: its models, adapters and services, its callers, and its engines and upstreams.
	// Parse sets absent fields to the value of their default tag.
	Doc struct {
		Environment string      `yaml:"environment" json:"environment"`
		WeightStore WeightStore `yaml:"weight_store" json:"weight_store"`
		Once        Once        `yaml:"once" json:"once"`
		Classes     []Class     `yaml:"classes" json:"classes"`
		Callers     []Caller    `yaml:"callers" json:"callers"`
		Models      []Model     `yaml:"models" json:"models"`
		Adapters    []Adapter   `yaml:"adapters" json:"adapters"`
		Pools       []Pool      `yaml:"pools" json:"pools"`
		Services    []Service   `yaml:"services" json:"services"`
	}

	// WeightStore holds the limits on weight loads of all engines of the environment together: how many start per
	// second, how many run at once, and how many adapters are loaded at once.
	WeightStore struct {
		LoadsPerS         float64 `yaml:"loads_per_s" json:"loads_per_s"`
		AtOnce            int     `yaml:"at_once" json:"at_once"`
		AdaptersInTransit int     `yaml:"adapters_in_transit" json:"adapters_in_transit"`
	}

	// Once holds the settings of idempotency records; RetentionS is how long they are kept.
	Once struct {
		RetentionS int `yaml:"retention_s" json:"retention_s" default:"86400"`
	}

	// Class is a class of requests with latency targets: FirstTokenMS for the time to first token, PerTokenMS for each
	// further token, TotalMS for the complete response. A lower Priority value is served first.
	Class struct {
		Name           string `yaml:"name" json:"name"`
		Priority       int    `yaml:"priority" json:"priority"`
		FirstTokenMS   int    `yaml:"first_token_ms" json:"first_token_ms"`
		PerTokenMS     int    `yaml:"per_token_ms" json:"per_token_ms"`
		TotalMS        int    `yaml:"total_ms" json:"total_ms"`
		Deferrable     bool   `yaml:"deferrable" json:"deferrable"`
		ExpectedTokens int    `yaml:"expected_tokens" json:"expected_tokens"`
	}

	// Caller is a client; KeySHA256 is the hex digest of its bearer key, and Share is its weight in fair queueing.
	Caller struct {
		Name          string `yaml:"name" json:"name"`
		KeySHA256     string `yaml:"key_sha256" json:"key_sha256"`
		FailureDomain string `yaml:"failure_domain" json:"failure_domain"`
		Share         int    `yaml:"share" json:"share" default:"1"`
	}

	// Model is a base model that the engines of a pool serve; MinCopies is its minimum number of replicas.
	Model struct {
		Name          string `yaml:"name" json:"name"`
		Version       string `yaml:"version" json:"version"`
		Pool          string `yaml:"pool" json:"pool"`
		MemoryMB      int    `yaml:"memory_mb" json:"memory_mb"`
		MinCopies     int    `yaml:"min_copies" json:"min_copies" default:"2"`
		Class         string `yaml:"class" json:"class"`
		NotRepeatable bool   `yaml:"not_repeatable" json:"not_repeatable"`
	}

	// Adapter is a fine-tuned addition to a model; callers address it by its own name.
	// MinCopies is its minimum number of replicas, and Class defaults to that of the model.
	Adapter struct {
		Name      string `yaml:"name" json:"name"`
		Version   string `yaml:"version" json:"version"`
		Model     string `yaml:"model" json:"model"`
		MemoryMB  int    `yaml:"memory_mb" json:"memory_mb"`
		MinCopies int    `yaml:"min_copies" json:"min_copies" default:"2"`
		Class     string `yaml:"class" json:"class"`
	}

	// Pool is a group of engines with one dispatcher; OrderHorizonS is the maximum delay of an order to an engine,
	// after which the order can no longer arrive.
	Pool struct {
		Name          string   `yaml:"name" json:"name"`
		OrderHorizonS int      `yaml:"order_horizon_s" json:"order_horizon_s" default:"60"`
		Engines       []Engine `yaml:"engines" json:"engines"`
	}

	// Engine is a model engine; MemoryMB is the memory of all its accelerators, of which KVReserveMB is reserved for
	// the KV cache. MaxSeqs is the number of sequences that it serves at once.
	Engine struct {
		Name          string `yaml:"name" json:"name"`
		URL           string `yaml:"url" json:"url"`
		FailureDomain string `yaml:"failure_domain" json:"failure_domain"`
		Accelerators  int    `yaml:"accelerators" json:"accelerators" default:"1"`
		MemoryMB      int    `yaml:"memory_mb" json:"memory_mb"`
		KVReserveMB   int    `yaml:"kv_reserve_mb" json:"kv_reserve_mb"`
		MaxSeqs       int    `yaml:"max_seqs" json:"max_seqs" default:"16"`
		ChecksFencing bool   `yaml:"checks_fencing" json:"checks_fencing"`
	}

	// Service is a plain service; callers reach it under the path /svc/ followed by its name.
	Service struct {
		Name          string     `yaml:"name" json:"name"`
		Class         string     `yaml:"class" json:"class"`
		NotRepeatable bool       `yaml:"not_repeatable" json:"not_repeatable"`
		RequireKey    bool       `yaml:"require_key" json:"require_key"`
		TimeoutMS     int        `yaml:"timeout_ms" json:"timeout_ms" default:"30000"`
		Upstreams     []Upstream `yaml:"upstreams" json:"upstreams"`
	}

	// Upstream is one instance of a plain service, that is, of a service that is not a model engine.
	Upstream struct {
		Name          string `yaml:"name" json:"name"`
		URL           string `yaml:"url" json:"url"`
		FailureDomain string `yaml:"failure_domain" json:"failure_domain"`
	}
)

// Item returns the name of the model on engines: name@version.
func (m Model) Item() string { return m.Name + "@" + m.Version }

// Item returns the name of the adapter on engines: name@version.
func (a Adapter) Item() string { return a.Name + "@" + a.Version }

// Usable returns the memory in MB that models and adapters may use.
func (e Engine) Usable() int { return e.MemoryMB - e.KVReserveMB }
