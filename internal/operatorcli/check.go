package operatorcli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"unicode"

	"github.com/lagoonshift/lagoonshift/internal/configcheck"
)

// CheckOptions configures Check.
type CheckOptions struct {
	Out io.Writer
	// File is the path of the configuration. Against, if it is not empty, is that of a
	// configuration to compare it with.
	File, Against string
	// Format is "auto", "tree" or "document".
	Format string
	// JSON prints one JSON object instead of a line for each finding.
	JSON bool
	// Deployment is the path of the deployment file with the zones; it may be empty.
	Deployment string
	// RetryBudget is that of configcheck.Options.
	RetryBudget float64
	// Document checks a document of the users' platform.
	Document func(content, inForce []byte, o configcheck.Options) ([]configcheck.Finding, error)
}

// CheckError states that a configuration has warnings or would be rejected.
type CheckError struct {
	// Code is the exit code of the command.
	Code int
	text string
}

// Error implements error.
func (e *CheckError) Error() string { return e.text }

// Check checks a configuration and prints the findings. Its error is a *CheckError if there
// are errors or warnings, and a *FileError if a file can't be used.
func Check(o CheckOptions) error {
	content, err := os.ReadFile(o.File)
	if err != nil {
		return &FileError{err: fmt.Errorf("read configuration: %w", err)}
	}
	var inForce []byte
	if o.Against != "" {
		if inForce, err = os.ReadFile(o.Against); err != nil {
			return &FileError{err: fmt.Errorf("read configuration to compare with: %w", err)}
		}
		if inForce == nil {
			inForce = []byte{}
		}
	}
	format := configcheck.Format(o.Format)
	if format == configcheck.Auto {
		format = configcheck.Detect(content)
	}
	findings, err := o.check(format, content, inForce)
	if err != nil {
		return err
	}
	if o.JSON {
		err = o.printJSON(format, findings)
	} else {
		err = o.print(findings)
	}
	if err != nil {
		return err
	}
	if code := configcheck.ExitCode(findings); code != configcheck.ExitFine {
		return &CheckError{Code: code, text: o.File + ": " + summary(findings)}
	}
	return nil
}

func (o *CheckOptions) check(format configcheck.Format, content, inForce []byte) (findings []configcheck.Finding, err error) {
	if format == configcheck.Tree {
		zones, err := readZones(o.Deployment)
		if err != nil {
			return nil, &FileError{err: err}
		}
		findings, err = configcheck.CheckTree(content, inForce, zones)
		if err != nil {
			return nil, &FileError{err: fmt.Errorf("%s: %w", o.Against, err)}
		}
		return findings, nil
	}
	findings, err = o.Document(content, inForce, configcheck.Options{RetryBudget: o.RetryBudget})
	if err != nil {
		return nil, &FileError{err: fmt.Errorf("%s: %w", o.Against, err)}
	}
	return findings, nil
}

func (o *CheckOptions) print(findings []configcheck.Finding) error {
	for _, f := range findings {
		var line strings.Builder
		line.WriteString(o.File)
		if f.Line > 0 {
			fmt.Fprintf(&line, ":%d:%d", f.Line, f.Column)
		}
		fmt.Fprintf(&line, ": %s: ", f.Severity)
		if f.Pointer != "" {
			line.WriteString(f.Pointer + ": ")
		}
		line.WriteString(f.Message)
		if _, err := fmt.Fprintln(o.Out, strings.Map(printable, line.String())); err != nil {
			return err
		}
	}
	return nil
}

// printable replaces control characters, which names in a file may hold, so that each
// finding is one line and doesn't control the terminal.
func printable(r rune) rune {
	if unicode.IsControl(r) {
		return unicode.ReplacementChar
	}
	return r
}

func (o *CheckOptions) printJSON(format configcheck.Format, findings []configcheck.Finding) error {
	if findings == nil {
		findings = []configcheck.Finding{}
	}
	encoder := json.NewEncoder(o.Out)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(struct {
		File     string                `json:"file"`
		Format   configcheck.Format    `json:"format"`
		ExitCode int                   `json:"exit_code"`
		Findings []configcheck.Finding `json:"findings"`
	}{o.File, format, configcheck.ExitCode(findings), findings})
}

func summary(findings []configcheck.Finding) string {
	counts := make(map[configcheck.Severity]int)
	for _, f := range findings {
		counts[f.Severity]++
	}
	if counts[configcheck.Error] > 0 {
		return fmt.Sprintf("would be rejected, %d errors, %d warnings", counts[configcheck.Error], counts[configcheck.Warning])
	}
	return fmt.Sprintf("%d warnings", counts[configcheck.Warning])
}
