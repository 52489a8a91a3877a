package callerconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/evict"
	"github.com/mallowgap/mallowgap/internal/callerconn/callertest"
)

const (
	// memoryLimit is the memory of all requests in the tests, and bodyLimit the size of one body, in bytes.
	memoryLimit = 256 << 10
	bodyLimit   = 96 << 10
	// serviceTime is how long a request with the path /slow is served.
	serviceTime = time.Minute
)

// shortFields is a head without its end that takes about as much memory as a body of bodyLimit.
var shortFields = "GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", bodyLimit/headLineCost)

// answerWhole answers requests that were read whole with 200, and those that made room for others as the platform does.
func answerWhole(w http.ResponseWriter, r *http.Request) {
	_, err := ReadBody(r, bodyLimit)
	if errors.Is(err, ErrEvicted) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/slow" {
		time.Sleep(serviceTime)
	}
}

// post is a request with a body of n bytes, of which the last missing ones are left out.
func post(path string, n, missing int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, n, strings.Repeat("x", n-missing))
}

// serveMemory runs a test with a server whose requests share memoryLimit, and checks that all of it is free in the end.
func serveMemory(t *testing.T, run func(t *testing.T, l *callertest.Listener)) {
	t.Helper()
	serveLimited(t, Limits{Memory: memoryLimit}, answerWhole, func(t *testing.T, l *callertest.Listener, conns *Tracker) {
		run(t, l)
		time.Sleep(2 * serviceTime)
		assert.Equal(t, conns.MemoryTaken(), int64(0))
	})
}

// stall sends requests that stop short of their end, on a connection each, and returns the statuses of those that were
// answered meanwhile.
func stall(l *callertest.Listener, n int, request string) (answers chan int) {
	answers = make(chan int, n)
	for range n {
		c := l.Dial()
		go func() { _ = c.Send(request) }() // It may be refused.
		go func() {
			if status, err := c.Receive(); err == nil {
				answers <- status
			}
			_ = c.Close()
		}()
		synctest.Wait()
	}
	return answers
}

// Requests that stop just short of their end must make room for others once they take all the memory, and their callers
// learn that they did not run.
func TestStalledRequestsMakeRoom(t *testing.T) {
	for name, request := range map[string]string{
		"bodies": post("/", bodyLimit, 1),
		"heads":  shortFields,
	} {
		t.Run(name, func(t *testing.T) {
			serveMemory(t, func(t *testing.T, l *callertest.Listener) {
				stall(l, memoryLimit/bodyLimit, request)
				time.Sleep(time.Second)
				answers := stall(l, 10, request)
				time.Sleep(time.Second)
				began := time.Now()
				assert.NilError(t, l.Dial().Exchange(post("/", bodyLimit, 0)))
				assert.Equal(t, time.Since(began), time.Duration(0), "an ordinary request waited")
				assert.Assert(t, len(answers) > 0)
				for len(answers) > 0 {
					assert.Equal(t, <-answers, http.StatusServiceUnavailable)
				}
			})
		})
	}
}

// A request that has just begun must not be ended for others: it waits, and both are answered.
func TestRequestsThatHaveJustBegunAreKept(t *testing.T) {
	serveMemory(t, func(t *testing.T, l *callertest.Listener) {
		const callers = 12
		answers := make(chan error, callers)
		for range callers {
			go func() {
				c := l.Dial()
				_ = c.Send(post("/", bodyLimit, 1)[:bodyLimit/2]) // Receive reports a refusal.
				time.Sleep(evict.Tenure / 2)
				answers <- c.Exchange(post("/", bodyLimit, 0)[bodyLimit/2:])
			}()
		}
		for range callers {
			assert.NilError(t, <-answers)
		}
	})
}

// A request that is served must be kept, and one for which no room can be made be refused soon and not at its deadline.
func TestServedRequestsAreKept(t *testing.T) {
	serveMemory(t, func(t *testing.T, l *callertest.Listener) {
		var served []*callertest.Caller
		for range 3 {
			served = append(served, l.Dial())
			assert.NilError(t, served[len(served)-1].Send(post("/slow", bodyLimit, 0)))
		}
		refused := l.Dial()
		began := time.Now()
		go func() { _ = refused.Send(post("/", bodyLimit, 0)) }()
		status, err := refused.Receive()
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, time.Since(began), evict.Tenure)
		assert.NilError(t, l.Dial().Exchange(callertest.Get), "a small request is not served")
		for _, c := range served {
			status, err := c.Receive()
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
		}
	})
}

// The refusal of a head must say when to return.
func TestRefusalOfAHeadSaysWhenToReturn(t *testing.T) {
	serveMemory(t, func(t *testing.T, l *callertest.Listener) {
		c := l.Dial()
		go func() { _ = c.Send(shortFields) }()
		time.Sleep(time.Second)
		go stall(l, 10, post("/", bodyLimit, 1))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, response.Header.Get("Retry-After"), strconv.Itoa(int(RetryAfter.Seconds())))
		assert.NilError(t, c.Close())
	})
}

// The memory of a request must be free once it was answered or its caller has left, whatever came of it.
func TestMemoryIsFreeAfterEachRequest(t *testing.T) {
	serveMemory(t, func(t *testing.T, l *callertest.Listener) {
		c := l.Dial()
		for range 20 {
			assert.NilError(t, c.Exchange(post("/", bodyLimit, 0)))
			left := l.Dial()
			assert.NilError(t, left.Send(post("/", bodyLimit, 1)))
			assert.NilError(t, left.Close())
			leftHead := l.Dial()
			assert.NilError(t, leftHead.Send(shortFields))
			assert.NilError(t, leftHead.Close())
			tooLarge := l.Dial()
			go func() { _, _ = io.WriteString(tooLarge, post("/", bodyLimit+1, 0)) }()
			_, err := tooLarge.Receive()
			assert.NilError(t, err)
			assert.NilError(t, tooLarge.Close())
			synctest.Wait()
		}
	})
}

// Requests whose length is not announced may come to hold parts of the memory and wait for each other: some must make
// room soon, and the others be answered.
func TestChunkedRequestsDoNotWaitForEachOther(t *testing.T) {
	serveMemory(t, func(t *testing.T, l *callertest.Listener) {
		const callers = 12
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 4<<10, strings.Repeat("x", 4<<10))
		statuses := make(chan int, callers)
		began := time.Now()
		for range callers {
			c := l.Dial()
			go func() {
				_ = c.Send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 20) + "0\r\n\r\n") // It may be refused.
			}()
			go func() {
				status, _ := c.Receive()
				statuses <- status
				_ = c.Close()
			}()
		}
		answered := 0
		for range callers {
			if <-statuses == http.StatusOK {
				answered++
			}
		}
		assert.Assert(t, answered > 0)
		assert.Assert(t, time.Since(began) <= callers*maxWait)
	})
}

// A request inside the limit of its configuration must be served in calm even if all requests have less memory.
func TestLargestRequestIsServedInCalm(t *testing.T) {
	serveLimited(t, Limits{Memory: bodyLimit / 8}, answerWhole, func(t *testing.T, l *callertest.Listener, conns *Tracker) {
		chunked := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", bodyLimit, strings.Repeat("x", bodyLimit))
		for _, request := range []string{post("/", bodyLimit, 0), chunked} {
			began := time.Now()
			assert.NilError(t, l.Dial().Exchange(request))
			assert.Equal(t, time.Since(began), time.Duration(0))
		}
		synctest.Wait()
		assert.Equal(t, conns.MemoryTaken(), int64(0))
	})
}

// A caller that does not read its answer must not keep the memory of its request from others.
func TestUnreadAnswerFreesMemory(t *testing.T) {
	serveMemory(t, func(t *testing.T, l *callertest.Listener) {
		for range 2 * memoryLimit / bodyLimit {
			assert.NilError(t, l.Dial().Send(post("/", bodyLimit, 0)))
			synctest.Wait()
		}
		began := time.Now()
		assert.NilError(t, l.Dial().Exchange(post("/", bodyLimit, 0)))
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// ownerless stands for a connection in tests of the memory alone.
type ownerless struct{}

func (ownerless) evict(evict.Request) {}

// A caller that sends without pause must get memory before those that began earlier and send slowly.
func TestFastRequestGoesBeforeSlowOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRequestMemory(memoryLimit)
		served := &share{owner: ownerless{}, began: time.Now()}
		assert.NilError(t, m.grow(served, memoryLimit+allowance))
		assert.NilError(t, m.noteWhole(served, true))
		slow := &share{owner: ownerless{}, began: time.Now()}
		time.Sleep(2 * evict.Tenure)
		fast := &share{owner: ownerless{}, began: time.Now()}
		order := make(chan string, 2)
		for name, s := range map[string]*share{"slow": slow, "fast": fast} {
			go func() {
				if m.grow(s, memoryLimit+allowance) == nil {
					order <- name
					m.release(s)
				}
			}()
		}
		synctest.Wait()
		m.release(served)
		assert.Equal(t, <-order, "fast")
		assert.Equal(t, <-order, "slow")
	})
}
