/** Range requests (RFC 9110, section 14): a single byte range, with If-Range and a strong validator. */
import {type IncomingHttpHeaders} from 'node:http';

/** Response to a range request: the whole body (200), a part of it (206), or an unsatisfiable range (416). */
export type SelectedRange = {readonly status: 200 | 206 | 416; readonly start: number; readonly end: number};

/** Selects the part of a body of `length` bytes to send; `end` is exclusive. */
export function selectRange(headers: IncomingHttpHeaders, validator: string, length: number): SelectedRange {
	const whole: SelectedRange = {status: 200, start: 0, end: length};
	const match = /^bytes=(\d+)-(\d*)$/v.exec(headers.range ?? '');
	// With an If-Range validator of another version, the caller gets the whole new body.
	if (match === null || (headers['if-range'] !== undefined && headers['if-range'] !== validator)) {
		return whole;
	}

	const start = Number(match[1]);
	const end = match[2] === '' ? length : Math.min(Number(match[2]) + 1, length);
	return start < end ? {status: 206, start, end} : {status: 416, start: 0, end: 0};
}
