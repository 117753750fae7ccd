package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const (
	pagesFolderPrefix = "stepwick-pages"
	logTailLines      = 8
)

// pageRun holds the flags of the pages command.
type pageRun struct {
	page    string
	workDir string // empty for a temporary directory
	seconds int
}

func pagesCommand() *cobra.Command {
	flags := &pageRun{
		page:    filepath.Join("docs", "OPERATING.md"),
		seconds: 180,
	}
	command := &cobra.Command{
		Use:   "pages",
		Short: "Run the commands of docs/OPERATING.md as printed, in one shell",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd.Context()) },
	}
	command.Flags().IntVar(&flags.seconds, "seconds", flags.seconds, "time limit of the whole run in seconds")
	command.Flags().StringVar(&flags.page, "page", flags.page, "path of the page")
	command.Flags().StringVar(&flags.workDir, "keep", flags.workDir, "empty working directory that is kept")
	return command
}

// run executes the page's blocks in a shell that stops at the first failing command.
// The shell has its own working directory; processes that it leaves running are
// killed with its process group.
func (p *pageRun) run(ctx context.Context) error {
	text, err := os.ReadFile(p.page)
	if err != nil {
		return err
	}
	blocks := shellBlocks(string(text))
	if len(blocks) == 0 {
		return errors.Errorf("%s has no sh blocks", p.page)
	}
	dir, remove, err := p.workingDir()
	if err != nil {
		return err
	}
	defer remove()
	script, err := pageScript(blocks, dir)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.seconds)*time.Second)
	defer cancel()
	if err := runShell(ctx, script, dir); err != nil {
		printLogTails(dir)
		return errors.Wrap(err, p.page)
	}
	fmt.Printf("{\"page\":%q,\"blocks\":%d,\"failed\":0}\n", p.page, len(blocks))
	return nil
}

// workingDir returns the absolute path of the working directory. The returned function
// removes the directory if it is temporary.
func (p *pageRun) workingDir() (dir string, remove func(), err error) {
	dir = p.workDir
	remove = func() {}
	if dir == "" {
		if dir, err = os.MkdirTemp("", pagesFolderPrefix); err != nil {
			return "", nil, err
		}
		temporary := dir
		remove = func() { _ = os.RemoveAll(temporary) }
	}
	dir, err = filepath.Abs(dir)
	return dir, remove, err
}

// pageScript returns a script that prints and runs each block. In the script, the
// command go runs in the checkout, but writes to bin/ of the working directory.
func pageScript(blocks []string, dir string) (string, error) {
	root, err := os.Getwd()
	if err != nil {
		return "", err
	}
	var script strings.Builder
	fmt.Fprintf(&script, "set -e -o pipefail\nworkplace=%q\ngo() { (builtin cd %q && command go \"${@/#bin\\//$workplace/bin/}\"); }\n", dir, root)
	for _, block := range blocks {
		fmt.Fprintf(&script, "cat <<'STEPWICK-BLOCK'\n---\n%sSTEPWICK-BLOCK\n%s", block, block)
	}
	return script.String(), nil
}

// runShell runs a script in its own process group and kills the group when the
// script ends or ctx is done.
func runShell(ctx context.Context, script, dir string) error {
	shell := exec.Command("bash", "-c", script)
	shell.Dir = dir
	shell.Stdout = os.Stdout
	shell.Stderr = os.Stderr
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := shell.Start(); err != nil {
		return err
	}
	killGroup := func() { _ = syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) }
	defer killGroup()
	stop := context.AfterFunc(ctx, killGroup)
	defer stop()
	return shell.Wait()
}

// shellBlocks returns the fenced code blocks of a Markdown page whose language is sh.
func shellBlocks(text string) []string {
	var blocks []string
	var block strings.Builder
	inside := false
	for _, line := range strings.SplitAfter(text, "\n") {
		switch {
		case !inside && strings.TrimSpace(line) == "```sh":
			inside = true
			block.Reset()
		case inside && strings.TrimSpace(line) == "```":
			inside = false
			blocks = append(blocks, block.String())
		case inside:
			block.WriteString(line)
		}
	}
	return blocks
}

// printLogTails prints the last lines of the logs that the page's commands wrote.
func printLogTails(dir string) {
	logs, _ := filepath.Glob(filepath.Join(dir, "tour", "*.log"))
	for _, log := range logs {
		text, _ := os.ReadFile(log)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		tail := lines[max(0, len(lines)-logTailLines):]
		fmt.Printf("--- the end of %s\n%s\n", filepath.Base(log), strings.Join(tail, "\n"))
	}
}
