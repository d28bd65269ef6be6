import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {expect} from 'earl';
import {exampleTokensFile, writeVmSettings} from '../demo/vm-settings.ts';
import {DisposableStore, toDisposable} from '../common/lifecycle/disposable.ts';
import {freePorts} from '../stand-ins/free-ports.ts';

describe('a daemon that gets a signal', () => {
	const owned = new DisposableStore();
	after(() => {
		owned.dispose();
	});

	/** Runs a daemon, sends it the signal when it has written a word, and tells how it ended; if badly, with all that it wrote. */
	async function endOf(word: string, signal: NodeJS.Signals): Promise<unknown[]> {
		const folder = mkdtempSync(join(tmpdir(), 'jaydale-serve-'));
		const [callPort, operatorPort, peerPort, platformPort] = await freePorts(4);
		const plan = {
			name: 'vm-1', dataCentre: 'gdansk-1', callPort: callPort!, operatorPort: operatorPort!, peerPort: peerPort!,
		};
		const settings = writeVmSettings(folder, plan, [plan], {
			platformUrl: `http://127.0.0.1:${platformPort}`, tokensFile: exampleTokensFile, keepForMilliseconds: 1000, logLevel: 'debug',
		});
		const child = spawn(process.execPath, ['--import=tsx', join(import.meta.dirname, 'main.ts'), 'serve', '--settings', settings], {stdio: ['ignore', 'pipe', 'pipe']});
		owned.add(toDisposable(() => {
			child.kill('SIGKILL');
			rmSync(folder, {recursive: true});
		}));
		const ended = once(child, 'exit');
		let text = '';
		child.stdout.on('data', (chunk: Uint8Array) => {
			const isTold = text.includes(word);
			text += Buffer.from(chunk).toString();
			if (!isTold && text.includes(word)) {
				child.kill(signal);
			}
		});
		child.stderr.on('data', (chunk: Uint8Array) => {
			text += Buffer.from(chunk).toString();
		});
		const end: unknown[] = await ended;
		// A neighbour's test has taken a port that was free a moment ago: this one has not been tried.
		if (text.includes('EADDRINUSE')) {
			return endOf(word, signal);
		}

		return end[0] === 0 ? end : [...end, text];
	}

	// Guards calls against the loss of the terminal that a VM was started from.
	for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM'] as const) {
		it(`stops as planned: ${signal}`, async () => {
			expect(await endOf('listening', signal)).toEqual([0, null]);
		});
	}
});
