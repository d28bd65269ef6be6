/** Measuring calls: asks a backend server's load endpoint. Each counts against the measuring budget. */
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {type CallEffect, type LoadReport} from '../../common/calls/types.ts';
import {type Dialect} from '../../common/protocol/dialect.ts';
import {type BackendConnections} from './backend-connections.ts';
import {type Measurer} from './call-carrier.ts';
import {type CallEventSink} from './types.ts';

type Measure = CallEffect & {type: 'measure'};

/** A load endpoint says a line; what is longer is none. */
const largestLoadBody = 4096;

/** The time for a measuring call is over. */
class MeasuringTimeout extends Error {
	override readonly name = 'MeasuringTimeout';
}

/** One measuring call, as an undici dispatch handler, since calls wait for it: no streams and no abort signal of its own. */
class Measurement implements Dispatcher.DispatchHandler {
	private readonly _read: (status: number, headers: IncomingHttpHeaders, body: string) => LoadReport | undefined;
	private readonly _onDone: (report: LoadReport | undefined) => void;
	private readonly _timer: NodeJS.Timeout;
	private readonly _chunks: Uint8Array[] = [];
	private _controller: Dispatcher.DispatchController | undefined;
	private _status = 0;
	private _headers: IncomingHttpHeaders = {};
	private _bytes = 0;
	private _isDone = false;

	constructor(milliseconds: number, read: Measurement['_read'], onDone: Measurement['_onDone']) {
		this._read = read;
		this._onDone = onDone;
		this._timer = setTimeout(() => {
			this._end(undefined);
			this._controller?.abort(new MeasuringTimeout());
		}, milliseconds);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this._controller = controller;
		if (this._isDone) {
			controller.abort(new MeasuringTimeout());
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
		this._status = status;
		this._headers = headers;
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this._bytes += chunk.length;
		if (this._bytes <= largestLoadBody) {
			this._chunks.push(chunk);
		}
	}

	onResponseEnd(): void {
		this._end(this._reading());
	}

	onResponseError(): void {
		// Refused, cut off or late: the engine learns that there is no report, and counts it.
		this._end(undefined);
	}

	private _reading(): LoadReport | undefined {
		if (this._isDone || this._bytes > largestLoadBody) {
			return undefined;
		}

		try {
			return this._read(this._status, this._headers, Buffer.concat(this._chunks).toString());
		} catch {
			// Not the form of a load report: as good as none, and the engine counts it so.
			return undefined;
		}
	}

	private _end(report: LoadReport | undefined): void {
		if (!this._isDone) {
			this._isDone = true;
			clearTimeout(this._timer);
			this._onDone(report);
		}
	}
}

/** Measures over the same connections as calls, so that it opens none of its own. */
export class LoadMeasurer implements Measurer {
	private readonly _connections: BackendConnections;
	private readonly _dialect: Dialect;

	constructor(connections: BackendConnections, dialect: Dialect) {
		this._connections = connections;
		this._dialect = dialect;
	}

	measure(effect: Measure, sink: CallEventSink): void {
		const {measurementId, identity, path, timeoutMilliseconds} = effect;
		const measurement = new Measurement(Math.ceil(timeoutMilliseconds), (status, headers, body) => this._dialect.readMeasurement(identity, status, headers, body), report => {
			sink.feed({type: 'measured', measurementId, report});
		});
		this._connections.pool(effect).dispatch({
			method: 'GET', path, headers: [], idempotent: false,
		}, measurement);
	}
}
