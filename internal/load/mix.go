// Package load generates load: it sends open-loop, seeded arrivals to a running
// deployment as its clients do, verifies every answer and reports goodput.
package load

import (
	"fmt"
	"net/url"
	"os"

	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// Mix is the content of a mix file: the requests to send and how to check them.
type Mix struct {
	// Seed determines arrival times, sizes and customers.
	Seed uint64 `json:"seed"`
	// Duration is the time during which requests are sent.
	Duration strictjson.Duration `json:"duration"`
	// Bootstrap lists the base URLs of entries used for the first address lookup.
	Bootstrap []string `json:"bootstrap"`
	// Completions and Calls describe the sources of requests.
	Completions []CompletionSource `json:"completions"`
	Calls       []CallSource       `json:"calls,omitempty"`
	// Phases change rates and sizes over time, in steps; without phases the
	// values of the sources apply throughout.
	Phases []Phase `json:"phases,omitempty"`
	// Records lists the URLs of the execution records of the fake services.
	Records []string `json:"records,omitempty"`
	// Engines lists the URLs of the order records of the fake engines.
	Engines []string `json:"engines,omitempty"`
	// VerifyTokens enables the check of each token's text against the one that
	// the fake engines generate for the prompt.
	VerifyTokens bool `json:"verify_tokens,omitempty"`
	// MaxTries is the maximum number of attempts per request.
	MaxTries int `json:"max_tries"`
}

// CompletionSource generates completion requests of one class.
type CompletionSource struct {
	Team      string   `json:"team"`
	Class     string   `json:"class"`
	Customers []string `json:"customers"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// PromptTokens and OutputTokens are the mean sizes.
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
	// ExpectedWait and Worth determine goodput, as in the settings: a request
	// counts with its worth if it is answered within the expected wait.
	ExpectedWait strictjson.Duration `json:"expected_wait"`
	Worth        float64             `json:"worth"`
}

// CallSource generates service calls.
type CallSource struct {
	Service   string   `json:"service"`
	Path      string   `json:"path"`
	Customers []string `json:"customers"`
	// Rate is in calls per second.
	Rate float64 `json:"rate"`
	// Repeat is the fraction of calls that are sent a second time with the same
	// idempotency key, through another address.
	Repeat       float64             `json:"repeat,omitempty"`
	ExpectedWait strictjson.Duration `json:"expected_wait"`
	Worth        float64             `json:"worth"`
}

// Phase scales all sources from a time until the next phase.
type Phase struct {
	At strictjson.Duration `json:"at"`
	// Rate, Prompt and Output are factors for rates, prompt sizes and output
	// sizes.
	Rate   float64 `json:"rate"`
	Prompt float64 `json:"prompt"`
	Output float64 `json:"output"`
}

// LoadMix reads and validates the mix file at path.
func LoadMix(path string) (*Mix, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read mix file: %w", err)
	}
	var m Mix
	if err := strictjson.Decode(content, &m); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("%s:%w", path, strictjson.AtLine(content, err))
	}
	return &m, nil
}

func (m *Mix) check() error {
	if m.Duration <= 0 {
		return &strictjson.FieldError{Path: "/duration", Reason: "expected a positive duration"}
	}
	if m.MaxTries < 1 {
		return &strictjson.FieldError{Path: "/max_tries", Reason: "expected at least 1"}
	}
	if len(m.Bootstrap) == 0 {
		return &strictjson.FieldError{Path: "/bootstrap", Reason: "expected at least one URL"}
	}
	for i, text := range m.Bootstrap {
		if u, err := url.Parse(text); err != nil || u.Host == "" {
			return &strictjson.FieldError{Path: fmt.Sprintf("/bootstrap/%d", i), Reason: "expected a URL"}
		}
	}
	for i, s := range m.Completions {
		at := fmt.Sprintf("/completions/%d", i)
		if err := checkSource(at, s.Rate, s.Customers, s.ExpectedWait, s.Worth); err != nil {
			return err
		}
		if s.PromptTokens < 1 || s.OutputTokens < 1 {
			return &strictjson.FieldError{Path: at, Reason: "expected at least one prompt token and one output token"}
		}
	}
	for i, s := range m.Calls {
		at := fmt.Sprintf("/calls/%d", i)
		if err := checkSource(at, s.Rate, s.Customers, s.ExpectedWait, s.Worth); err != nil {
			return err
		}
		if s.Repeat < 0 || s.Repeat > 1 {
			return &strictjson.FieldError{Path: at + "/repeat", Reason: "expected a number from 0 to 1"}
		}
	}
	return m.checkPhases()
}

func checkSource(at string, rate float64, customers []string, wait strictjson.Duration, worth float64) error {
	switch {
	case rate <= 0:
		return &strictjson.FieldError{Path: at + "/rate", Reason: "expected a positive number"}
	case len(customers) == 0:
		return &strictjson.FieldError{Path: at + "/customers", Reason: "expected at least one customer"}
	case wait <= 0:
		return &strictjson.FieldError{Path: at + "/expected_wait", Reason: "expected a positive duration"}
	case worth <= 0:
		return &strictjson.FieldError{Path: at + "/worth", Reason: "expected a positive number"}
	}
	return nil
}

func (m *Mix) checkPhases() error {
	for i, p := range m.Phases {
		at := fmt.Sprintf("/phases/%d", i)
		if p.Rate < 0 || p.Prompt <= 0 || p.Output <= 0 {
			return &strictjson.FieldError{Path: at, Reason: "expected positive factors"}
		}
		if i > 0 && p.At <= m.Phases[i-1].At {
			return &strictjson.FieldError{Path: at + "/at", Reason: "expected a time after the previous phase"}
		}
	}
	return nil
}

// defaultPhase applies before the first phase of a mix.
var defaultPhase = Phase{Rate: 1, Prompt: 1, Output: 1}
