/** Loads the daemon when it is to run: the other commands start faster without it. */
import {existsSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {type RunDaemon} from './commands/serve.ts';

/** The module beside this one, as source or as built. */
function daemonUrl(): string {
	const source = new URL('../daemon/serve.ts', import.meta.url);
	return existsSync(fileURLToPath(source)) ? source.href : new URL('../daemon/serve.js', import.meta.url).href;
}

/** Runs the daemon; its planned stop ends it. */
export const runDaemon: RunDaemon = async (settings, tokens) => {
	const module: unknown = await import(daemonUrl());
	if (!hasServe(module)) {
		return exitCodes.failed;
	}

	return asExitCode(await module.serve(settings, tokens));
};

type DaemonModule = {serve(...parameters: Parameters<RunDaemon>): Promise<unknown>};

function hasServe(module: unknown): module is DaemonModule {
	return typeof module === 'object' && module !== null && 'serve' in module && typeof module.serve === 'function';
}

/** A daemon that ends without a code of its own has ended as planned. */
function asExitCode(value: unknown): ExitCode {
	return Object.values(exitCodes).find(code => code === value) ?? exitCodes.done;
}
