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

// Body is an OpenAI answer or event.
type Body struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Answer returns a whole answer.
func Answer(m configurator.ModelName, text string, chat bool) Body {
	stop := "stop"
	if chat {
		return Body{"cmpl", "chat.completion", string(m), []Choice{{Message: &Message{"assistant", text}, FinishReason: &stop}}}
	}
	return Body{"cmpl", "text_completion", string(m), []Choice{{Text: text, FinishReason: &stop}}}
}

// Event returns one event of a stream.
func Event(m configurator.ModelName, word string, chat bool) Body {
	if chat {
		return Body{"cmpl", "chat.completion.chunk", string(m), []Choice{{Delta: &Message{Content: word}}}}
	}
	return Body{"cmpl", "text_completion", string(m), []Choice{{Text: word}}}
}
