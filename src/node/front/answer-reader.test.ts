/** A strict parser for HTTP answers in tests; it reports every deviation from the expected framing. */

type Head = {readonly status: number; readonly headers: ReadonlyMap<string, string>};
type Body = {readonly text: string; readonly length: number; readonly isWhole: boolean};

/** Terminates the head of a message. */
export const headEnd = '\r\n\r\n';

/** Parses a head (RFC 9112) or returns a description of the error. Tests send no header twice, so a duplicate is an error. */
function readHead(text: string): Head | string {
	const [statusLine = '', ...lines] = text.split('\r\n');
	const status = /^HTTP\/1\.1 (\d{3}) [\t\u0020-~]*$/v.exec(statusLine)?.[1];
	const headers = new Map<string, string>();
	for (const line of lines) {
		const [, name, value] = /^([\w!#$%\u0026'*+.\u005E`\|~\-]+):[\t ]*(.*)$/v.exec(line) ?? [];
		if (name === undefined || value === undefined || headers.has(name.toLowerCase())) {
			return `invalid or duplicate header: ${line}`;
		}

		headers.set(name.toLowerCase(), value.trim().toLowerCase());
	}

	if (headers.has('content-length') && headers.has('transfer-encoding')) {
		return 'both content-length and transfer-encoding';
	}

	return status === undefined ? `invalid status line: ${statusLine}` : {status: Number(status), headers};
}

function readChunks(bytes: Buffer): Body {
	const chunks: string[] = [];
	let position = 0;
	for (;;) {
		const lineEnd = bytes.indexOf('\r\n', position);
		const size = /^[\da-f]{1,8}$/iv.exec(bytes.subarray(position, Math.max(position, lineEnd)).toString('latin1'));
		const start = lineEnd + 2;
		const end = start + Number.parseInt(size?.[0] ?? '0', 16);
		if (lineEnd === -1 || size === null || bytes.subarray(end, end + 2).toString('latin1') !== '\r\n') {
			return {text: chunks.join(''), length: bytes.length, isWhole: false};
		}

		if (end === start) {
			return {text: chunks.join(''), length: end + 2, isWhole: true};
		}

		chunks.push(bytes.subarray(start, end).toString('latin1'));
		position = end + 2;
	}
}

function readBody({status, headers}: Head, bytes: Buffer): Body {
	if (status < 200 || status === 204 || status === 304) {
		return {text: '', length: 0, isWhole: true};
	}

	if (headers.get('transfer-encoding') === 'chunked') {
		return readChunks(bytes);
	}

	const length = headers.get('content-length');
	const end = length === undefined ? bytes.length : Number(length);
	return {text: bytes.subarray(0, end).toString('latin1'), length: Math.min(end, bytes.length), isWhole: bytes.length >= end};
}

/** Returns the body of the answer to a call. Its last byte marks it as complete, also in a close-delimited answer. */
export function answerBody(name: string, bytes = 0): string {
	return `answer to ${name}:${'a'.repeat(bytes)}.`;
}

/** Describes an answer: its status, the name of the answered call or `refused`, and any error in it. */
function describeAnswer(head: Head, {text, isWhole}: Body): string {
	const {status, headers} = head;
	if (status < 200) {
		return String(status);
	}

	const answered = /^answer to (\w+):a*\.$/v.exec(text)?.[1];
	const subject = status < 400 ? answered : 'refused';
	const isClosing = headers.get('connection') === 'close';
	return `${status} ${isWhole && subject !== undefined ? subject : `cut at ${text.length} bytes`}${isClosing ? ', close' : ''}`;
}

/**
 * Describes each answer in the bytes received on a connection. Bytes after an answer with `connection: close` are an error,
 * because a caller reads no further (RFC 9112, 9.6).
 */
export function readAnswers(bytes: Buffer): string[] {
	const answers: string[] = [];
	for (let position = 0; position < bytes.length;) {
		const end = bytes.indexOf(headEnd, position);
		const head = end === -1 ? 'head is cut off' : readHead(bytes.subarray(position, end).toString('latin1'));
		if (typeof head === 'string' || answers.at(-1)?.endsWith(', close')) {
			return [...answers, `garbage: ${typeof head === 'string' ? head : head.status}`];
		}

		const body = readBody(head, bytes.subarray(end + headEnd.length));
		answers.push(describeAnswer(head, body));
		position = end + headEnd.length + body.length;
	}

	return answers;
}
