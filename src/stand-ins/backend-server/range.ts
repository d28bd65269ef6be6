/** Range requests (RFC 9110, 14): one range of bytes, guarded by If-Range with a strong validator. */
import {type IncomingHttpHeaders} from 'node:http';

/** What to answer: the whole body (200), a part (206), or that no byte fits (416). */
export type SelectedRange = {readonly status: 200 | 206 | 416; readonly start: number; readonly end: number};

/** Chooses the part of a body of `length` bytes; `end` is exclusive. */
export function selectRange(headers: IncomingHttpHeaders, validator: string, length: number): SelectedRange {
	const whole: SelectedRange = {status: 200, start: 0, end: length};
	const match = /^bytes=(\d+)-(\d*)$/v.exec(headers.range ?? '');
	// Another version than the one the caller holds a part of: it gets the whole of the new one.
	if (match === null || (headers['if-range'] !== undefined && headers['if-range'] !== validator)) {
		return whole;
	}

	const start = Number(match[1]);
	const end = match[2] === '' ? length : Math.min(Number(match[2]) + 1, length);
	return start < end ? {status: 206, start, end} : {status: 416, start: 0, end: 0};
}
