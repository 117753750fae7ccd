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

func pagesCommand() *cobra.Command {
	length, page, keep := 180, filepath.Join("docs", "OPERATING.md"), ""
	c := &cobra.Command{Use: "pages", Short: "Run the commands of docs/OPERATING.md as printed, in one shell", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return pages(cmd.Context(), page, keep, length) }}
	c.Flags().IntVar(&length, "seconds", length, "bound of the whole run")
	c.Flags().StringVar(&page, "page", page, "the page")
	c.Flags().StringVar(&keep, "keep", keep, "an empty folder to work in and keep")
	return c
}

// pages runs the page's blocks under a shell that stops at the first command
// that fails. The shell works on a copy of the checkout's build in a folder of
// its own; what it leaves running ends with its process group.
func pages(ctx context.Context, page, keep string, length int) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	blocks := shellBlocks(string(text))
	if len(blocks) == 0 {
		return errors.Errorf("%s has no commands", page)
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "stepwick-pages"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return err
	}
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	var script strings.Builder
	fmt.Fprintf(&script, "set -e -o pipefail\nworkplace=%q\ngo() { (builtin cd %q && command go \"${@/#bin\\//$workplace/bin/}\"); }\n", dir, root)
	for _, block := range blocks {
		fmt.Fprintf(&script, "cat <<'STEPWICK-BLOCK'\n---\n%sSTEPWICK-BLOCK\n%s", block, block)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(length)*time.Second)
	defer cancel()
	shell := exec.Command("bash", "-c", script.String())
	shell.Dir, shell.Stdout, shell.Stderr = dir, os.Stdout, os.Stderr
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := shell.Start(); err != nil {
		return err
	}
	group := shell.Process.Pid
	stop := context.AfterFunc(ctx, func() { _ = syscall.Kill(-group, syscall.SIGKILL) })
	err = shell.Wait()
	stop()
	_ = syscall.Kill(-group, syscall.SIGKILL)
	if err != nil {
		showLogs(dir)
		return errors.Wrap(err, page)
	}
	fmt.Printf("{\"page\":%q,\"blocks\":%d,\"failed\":0}\n", page, len(blocks))
	return nil
}

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

func showLogs(dir string) {
	logs, _ := filepath.Glob(filepath.Join(dir, "tour", "*.log"))
	for _, log := range logs {
		text, _ := os.ReadFile(log)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		fmt.Printf("--- the end of %s\n%s\n", filepath.Base(log), strings.Join(lines[max(0, len(lines)-8):], "\n"))
	}
}
