/** A caller that generates load, with the admin endpoints `GET /admin/report` and `POST /admin/stop`. */
import {getRequestListener} from '@hono/node-server';
import {Hono} from 'hono';
import {type Result} from 'neverthrow';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {seededRandom} from '../../common/random/random.ts';
import {HttpListener, type ListenFailure} from '../http-listener.ts';
import {CallerLoad, type CallerLoadSettings} from './caller-load.ts';
import {Caller, type CallerSettings} from './caller.ts';

/** Runs within a test's process, or as a process of its own by `main.ts`. */
export class CallerStandIn extends Disposable {
	private readonly _caller: Caller;
	private readonly _listener: HttpListener;
	private _load: CallerLoad | undefined;

	constructor(
		callerSettings: CallerSettings,
		private readonly _loadSettings: CallerLoadSettings,
		address: string,
		port: number,
		seed: number,
	) {
		super();
		this._caller = this._register(new Caller(callerSettings, seededRandom(seed)));
		const routes = new Hono();
		routes.get('/admin/report', context => context.json(this._load?.report()));
		routes.post('/admin/stop', context => {
			this._load?.stop();
			return context.json({});
		});
		const handleRequest = getRequestListener(routes.fetch, {overrideGlobalObjects: false});
		this._listener = this._register(new HttpListener({address, port}, (request, response) => {
			void handleRequest(request, response);
		}));
	}

	/** Starts to listen, then starts the load. Resolves with the port of the admin endpoints. */
	async start(): Promise<Result<number, ListenFailure>> {
		const listening = await this._listener.listen();
		if (listening.isOk()) {
			this._load = this._register(new CallerLoad(this._loadSettings, this._caller));
		}

		return listening;
	}
}
