import {type ChildProcessByStdio, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {type Readable} from 'node:stream';
import {expect} from 'earl';
import {exampleTokensFile, writeVmSettings} from '../demo/vm-settings.ts';
import {DisposableStore, toDisposable} from '../common/lifecycle/disposable.ts';
import {listenOn} from '../node/listening.ts';
import {freePorts} from '../stand-ins/free-ports.ts';

describe('a daemon that receives a signal', () => {
	const owned = new DisposableStore();
	after(() => {
		owned.dispose();
	});

	/** Starts a daemon on free ports, the call port of which `occupy` may use first. */
	async function start(occupy?: (callPort: number) => Promise<void>): Promise<ChildProcessByStdio<null, Readable, Readable>> {
		const folder = mkdtempSync(join(tmpdir(), 'jaydale-serve-'));
		const [callPort, operatorPort, peerPort, platformPort] = await freePorts(4);
		await occupy?.(callPort!);
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
		return child;
	}

	/** Starts a daemon, sends the signal once its output contains the word, and resolves with exit code and signal; after a failure also with its output. */
	async function runUntilSignal(word: string, signal: NodeJS.Signals): Promise<unknown[]> {
		const child = await start();
		const ended = once(child, 'exit');
		let text = '';
		child.stdout.on('data', (chunk: Uint8Array) => {
			const hadWord = text.includes(word);
			text += Buffer.from(chunk).toString();
			if (!hadWord && text.includes(word)) {
				child.kill(signal);
			}
		});
		child.stderr.on('data', (chunk: Uint8Array) => {
			text += Buffer.from(chunk).toString();
		});
		const exit: unknown[] = await ended;
		// Another process has taken one of the free ports in the meantime, so the daemon never listened: start again.
		if (text.includes('EADDRINUSE')) {
			return runUntilSignal(word, signal);
		}

		return exit[0] === 0 ? exit : [...exit, text];
	}

	// Guards calls against the loss of the terminal in which a VM was started (SIGHUP).
	for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM'] as const) {
		it(`makes a planned stop on ${signal}`, async () => {
			expect(await runUntilSignal('listening', signal)).toEqual([0, null]);
		});
	}

	// Guards the start of a VM, and its planned stop, against a port that is in use.
	it('waits for a port that is in use, and ends on SIGTERM while it waits', async () => {
		const occupant = createServer();
		const child = await start(async callPort => {
			await listenOn(occupant, callPort, '127.0.0.1');
		});
		const ended = once(child, 'exit');
		for await (const chunk of child.stdout) {
			if (String(chunk).includes('cannot open a listener')) {
				child.kill('SIGTERM');
			}
		}

		occupant.close();
		expect(await ended).toEqual([0, null]);
	});
});
