/** Receives an answer; the caller may leave at any time. */
export class AnswerSink {
}
//# sourceMappingURL=answersink.js.map