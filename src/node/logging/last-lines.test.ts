import {spawn} from 'node:child_process';
import {expect} from 'earl';

describe('the last log lines of a process', () => {
	// Fails if the last lines are lost when the process ends during a write.
	it('are written even if another write is in progress at the end', async () => {
		const program = String.raw`
			import {BoundedWriter} from ${JSON.stringify(new URL('bounded-writer.ts', import.meta.url).href)};
			// Longer than the default, because on a busy machine the reader below may start late.
			const writer = new BoundedWriter(5000);
			// More than the pipe's buffer holds, so that the write is in progress until the reader starts.
			for (const pause of [200, 200]) {
				for (let count = 0; count < 250; count++) writer.write('x'.repeat(999) + '\n');
				await new Promise(resolve => setTimeout(resolve, pause));
			}

			writer.write('stopped\n');
			process.stderr.write('ends');
			await writer.end();
			process.exit(0);
		`;
		const child = spawn(process.execPath, ['--import=tsx', '--input-type=module', '-e', program], {stdio: ['ignore', 'pipe', 'pipe']});
		await new Promise<void>(resolve => {
			child.stderr.once('data', () => {
				resolve();
			});
		});
		let text = '';
		child.stdout.on('data', (chunk: Uint8Array) => {
			text += chunk.toString();
		});
		await new Promise<void>(resolve => {
			child.once('close', () => {
				resolve();
			});
		});
		expect({lines: text.split('\n').length - 1, end: text.slice(-8)}).toEqual({lines: 501, end: 'stopped\n'});
	});
});
