import {readFileSync} from 'node:fs';
import {expect} from 'earl';
import {settingsReference} from './settings-reference.ts';
import {settingsSchema} from './settings.ts';

describe('settings reference', () => {
	// Guards operators against a page that says other than the schema.
	it('stands in the operators\' page as the schema has it', () => {
		const page = readFileSync('docs/operators/settings.md', 'utf8');
		const reference = page.slice(page.indexOf('## [vm]'), page.indexOf('## The tokens file'));
		expect(reference.trim().split('\n')).toEqual(settingsReference(settingsSchema).join('\n').trim().split('\n'));
	});
});
