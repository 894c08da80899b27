package dispatcher

// Counters counts requests and sends since the dispatcher was created.
type Counters struct {
	Arrived      int `json:"arrived"`  // requests
	Sent         int `json:"sent"`     // sends
	SentLimited  int `json:"limited"`  // of these, to upstreams that named a limit
	Completed    int `json:"whole"`    // requests with a complete answer
	Refused      int `json:"refused"`  // requests that no upstream ran, answered with an error
	Isolated     int `json:"isolated"` // of these, like others that crash upstreams
	Revoked      int `json:"revoked"`  // of these, since their key was not known to be valid any more
	Lost         int `json:"lost"`     // requests that an upstream may have run, answered with an error
	Retried      int `json:"repeated"` // retries after an upstream had received the request
	Resumed      int `json:"resumed"`  // of these, after a part of a stream had reached the caller
	Disconnected int `json:"left"`     // requests whose caller closed its connection
	Yielded      int `json:"yielded"`  // refused requests that other workspaces' shares went before
	Promoted     int `json:"promoted"` // requests that went before more urgent ones, since those of their priority were served too seldom
	Beyond       int `json:"beyond"`   // sends of requests beyond the share of their workspace
}
