import {spawn} from 'node:child_process';
import {expect} from 'earl';

describe('the last lines of a process', () => {
	// Guards the last log lines against a process that ends while a write is under way.
	it('are written though a write is under way when it ends', async () => {
		const program = String.raw`
			import {BoundedWriter} from ${JSON.stringify(new URL('bounded-writer.ts', import.meta.url).href)};
			// Longer than usual: on a busy machine the reader below may begin late.
			const writer = new BoundedWriter(5000);
			// More than the system keeps for a reader, so that the write is under way until somebody reads.
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
