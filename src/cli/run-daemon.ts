/** Loads the daemon's modules only for `jaydale serve`, so that the other commands start faster. */
import {type RunDaemon} from './commands/serve.ts';
import {exitCodes} from './exit-codes.ts';

/** Runs the daemon until its planned stop has finished. */
export const runDaemon: RunDaemon = async (settings, tokens) => {
	const {serve} = await import('../daemon/serve.ts');
	const code = await serve(settings, tokens);
	return code === 0 ? exitCodes.done : exitCodes.failed;
};
