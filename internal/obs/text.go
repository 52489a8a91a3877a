package obs

import "strings"

// maxErrorText is the maximum length of the text of a shortened error, in bytes.
const maxErrorText = 512

// ShortText returns the first limit bytes of a text as valid UTF-8.
func ShortText(text string, limit int) string {
	return strings.ToValidUTF8(text[:min(len(text), limit)], "?")
}

// Shorten returns an error with a short text in valid UTF-8, for an error whose text may repeat bytes
// from outside. It returns nil for nil.
func Shorten(err error) error {
	if err == nil {
		return nil
	}
	return &shortError{err}
}

type shortError struct{ err error }

// Error implements error.
func (e *shortError) Error() string { return ShortText(e.err.Error(), maxErrorText) }

// Unwrap returns the error that was shortened.
func (e *shortError) Unwrap() error { return e.err }
