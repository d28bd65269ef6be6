/** `jaydale serve`: runs a daemon until its planned stop is over. */
import process from 'node:process';
import {describeFailure} from '../common/errors/failure.ts';
import {Disposable, toDisposable} from '../common/lifecycle/disposable.ts';
import {Emitter} from '../common/lifecycle/emitter.ts';
import {type OperatorToken, type Settings} from '../common/settings/settings.ts';
import {Logging} from '../node/logging/logging.ts';
import {loadHashes} from './identity.ts';
import {wireDaemon} from './wiring.ts';

const failedExitCode = 1;

/** The ends of a process by hand, by a supervisor, and of the terminal that it was started in. */
const stopSignals = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/**
 * Runs until SIGTERM, SIGINT or SIGHUP, the platform's list or an operator has begun the planned stop and it
 * is over; resolves with the exit code. A line with the ports goes to standard output when all listeners are open.
 */
export async function serve(settings: Settings, tokens: readonly OperatorToken[]): Promise<number> {
	const order = new StopOrder();
	const exitCode = await run(settings, tokens, order);
	order.dispose();
	return exitCode;
}

/**
 * The order to stop, by a signal. Guards calls against one that comes while the listeners open: until somebody listens to a
 * signal the system ends the process at once, with all that its listeners have taken.
 */
class StopOrder extends Disposable {
	private readonly _onOrder = this._register(new Emitter<void>());
	private _hasCome = false;

	constructor() {
		super();
		const take = () => {
			this._hasCome = true;
			this._onOrder.fire();
		};

		for (const signal of stopSignals) {
			process.on(signal, take);
			this._register(toDisposable(() => {
				process.off(signal, take);
			}));
		}
	}

	/** Calls the listener at each order, and at once if one has come. */
	listen(listener: () => void): void {
		this._register(this._onOrder.event(listener));
		if (this._hasCome) {
			listener();
		}
	}
}

async function run(settings: Settings, tokens: readonly OperatorToken[], order: StopOrder): Promise<number> {
	const logging = new Logging(settings.log, {vm: settings.vm.name});
	const wired = wireDaemon(settings, tokens, logging, await loadHashes());
	if (wired.isErr()) {
		logging.logger.error('cannot start', {failure: describeFailure(wired.error)});
		return failedExitCode;
	}

	const daemon = wired.value;
	const started = await daemon.start();
	if (started.isErr()) {
		logging.logger.error('cannot start', {failure: describeFailure(started.error)});
		daemon.dispose();
		return failedExitCode;
	}

	logging.logger.info('listening', started.value);
	return new Promise(resolve => {
		daemon.onEnded(() => {
			daemon.dispose();
			resolve(0);
		});
		order.listen(() => {
			daemon.stop();
		});
	});
}
