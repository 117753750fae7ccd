package emulator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const digestBase = 16

// NewBody returns the body of a web server's answer: the request's token, padding and a
// digest of both, separated by spaces.
func NewBody(token string, padding int) string {
	text := token + " " + strings.Repeat("o", padding)
	return text + " " + digest(text)
}

// VerifyBody returns the token of a body and reports whether its digest is correct.
func VerifyBody(body string) (token string, intact bool) {
	end := strings.LastIndexByte(body, ' ')
	if end < 0 {
		return "", false
	}
	token, _, _ = strings.Cut(body, " ")
	return token, digest(body[:end]) == body[end+1:]
}

func digest(text string) string {
	return strconv.FormatUint(xxhash.Sum64String(text), digestBase)
}
