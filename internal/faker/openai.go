package faker

import "github.com/egretwall/egretwall/pkg/configurator"

// Choice is a choice of an OpenAI answer or event.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// CompletionResponse is an OpenAI answer or event.
type CompletionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// NewCompletionResponse returns a whole answer.
func NewCompletionResponse(m configurator.ModelName, text string, chat bool) CompletionResponse {
	stop := "stop"
	if chat {
		return CompletionResponse{"cmpl", "chat.completion", string(m), []Choice{{Message: &Message{"assistant", text}, FinishReason: &stop}}}
	}
	return CompletionResponse{"cmpl", "text_completion", string(m), []Choice{{Text: text, FinishReason: &stop}}}
}

// NewCompletionChunk returns one event of a stream.
func NewCompletionChunk(m configurator.ModelName, word string, chat bool) CompletionResponse {
	if chat {
		return CompletionResponse{"cmpl", "chat.completion.chunk", string(m), []Choice{{Delta: &Message{Content: word}}}}
	}
	return CompletionResponse{"cmpl", "text_completion", string(m), []Choice{{Text: word}}}
}
