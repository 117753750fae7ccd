package settings

import (
	"os"
	"strings"

	"stepwick/internal/apierror"

	"github.com/knadh/koanf/providers/posflag"
	"github.com/knadh/koanf/v2"
	"github.com/pkg/errors"
	"github.com/spf13/pflag"
)

// secretFilePrefix marks a value as the name of a file that contains the secret.
const secretFilePrefix = "@"

// Load returns the defaults, overridden by the settings file (unless its name is
// empty), overridden by the flags (unless nil). The error is an *apierror.Error with
// the code BadSetting, whose detail has one line for each problem.
func Load(file string, flags *pflag.FlagSet) (*Values, error) {
	return LoadRole(file, flags, "")
}

// LoadRole is like Load, and also reports the settings that the role requires and
// that are missing.
func LoadRole(file string, flags *pflag.FlagSet, role string) (*Values, error) {
	var data []byte
	if file != "" {
		var err error
		if data, err = os.ReadFile(file); err != nil {
			return nil, apierror.Errorf(apierror.BadSetting, "%v", errors.Cause(err))
		}
	}
	values, problems := Read(file, data, flags, role)
	if len(problems) > 0 {
		return nil, problemsError(problems)
	}
	return values, nil
}

// Read parses the content of a settings file and the flags. It returns the problems of
// the file by line, followed by those of the flags. If there are none, it returns
// instead the settings that contradict each other and those that are missing. A
// setting that can't be parsed has its default value.
func Read(file string, data []byte, flags *pflag.FlagSet, role string) (*Values, []Problem) {
	r := &reader{file: parseFile(file, data), flags: flags}
	values, problems := r.parseAll()
	problems = append(r.file.problems, problems...)
	sortProblems(problems)
	if len(problems) > 0 {
		return values, problems
	}
	report := func(name, reason string) {
		problem := r.newProblem(name)
		problem.Reason = reason
		problems = append(problems, problem)
	}
	values.checkRelations(report)
	values.checkRequired(role, report)
	return values, problems
}

// reader combines the defaults, the settings file and the flags.
type reader struct {
	file  *settingsFile
	flags *pflag.FlagSet // may be nil
}

// parseAll parses the texts of all settings. For a setting that can't be parsed, it
// returns a problem and the default value.
func (r *reader) parseAll() (*Values, []Problem) {
	texts := r.layers()
	values := &Values{
		typed:       make(map[string]any, len(Table)),
		source:      make(map[string]string, len(Table)),
		formerNames: r.file.formerNames,
	}
	var problems []Problem
	for _, row := range Table {
		value, err := parseSetting(row, texts.String(row.Name))
		if err != nil {
			problem := r.newProblem(row.Name)
			problem.Reason = err.Error()
			problems = append(problems, problem)
			value, _ = row.Type.parse(row.Default)
		}
		values.typed[row.Name] = value
		values.source[row.Name] = r.source(row.Name)
	}
	return values, problems
}

// layer contains the texts of settings by name. It implements koanf.Provider.
type layer map[string]any

// ReadBytes implements koanf.Provider. It always fails, since a layer has no encoded
// form.
func (l layer) ReadBytes() ([]byte, error) {
	return nil, errors.New("settings: a layer has no encoded form")
}

// Read implements koanf.Provider.
func (l layer) Read() (map[string]any, error) { return l, nil }

// noDelimiter prevents koanf from splitting dotted names.
const noDelimiter = "\x00"

// layers returns the texts of all settings: the defaults, overridden by the file,
// overridden by the flags. Loading a layer can't fail, since neither maps nor flags
// are decoded.
func (r *reader) layers() *koanf.Koanf {
	texts := koanf.New(noDelimiter)
	defaults := make(layer, len(Table))
	for _, row := range Table {
		defaults[row.Name] = row.Default
	}
	_ = texts.Load(defaults, nil)
	_ = texts.Load(r.file.texts, nil)
	if r.flags == nil {
		return texts
	}
	settingsOnly := func(flag *pflag.Flag) (string, any) {
		if _, known := rowsByName[flag.Name]; !known {
			return "", nil
		}
		return flag.Name, flag.Value.String()
	}
	_ = texts.Load(posflag.ProviderWithFlag(r.flags, noDelimiter, texts, settingsOnly), nil)
	return texts
}

// source returns where a setting's value comes from.
func (r *reader) source(name string) string {
	if r.flags != nil && r.flags.Changed(name) {
		return SourceFlag
	}
	if _, ok := r.file.texts[name]; ok {
		return SourceFile
	}
	return SourceDefault
}

// newProblem returns a problem with the setting's name and position, but no reason.
func (r *reader) newProblem(name string) Problem {
	if r.source(name) == SourceFlag {
		return Problem{Name: name}
	}
	return Problem{File: r.file.name, Line: r.file.lines[name], Name: name}
}

// parseSetting parses a setting's text. The text of a secret may name a file that
// contains it.
func parseSetting(row Row, text string) (any, error) {
	value, err := row.Parse(text)
	if err == nil && row.Secret && row.Type == String {
		return readSecret(row, text)
	}
	return value, err
}

func readSecret(row Row, text string) (any, error) {
	file, isFile := strings.CutPrefix(text, secretFilePrefix)
	if !isFile {
		return text, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Cause(err)
	}
	secret := strings.TrimSpace(string(data))
	if strings.HasPrefix(secret, secretFilePrefix) {
		return nil, errors.Errorf("%s contains a file name that begins with @ instead of a secret", file)
	}
	return secret, row.Check(secret)
}
