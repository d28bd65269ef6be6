// XO defines formatting and naming. The comments below give the reasons for which rules are switched off or changed.
const xoConfig = [
	{
		ignores: ['dist/**', 'charts/**', 'docs/**'],
	},
	{
		rules: {
			// In this project, private members start with an underscore.
			'@typescript-eslint/naming-convention': 'off',
			// The project's own event emitters are typed; zod, undici and JSON return `null`.
			'unicorn/no-null': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			// Chains of results are read in order; the `match` of a neverthrow result is not an array method.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-for-each': 'off',
			// A file holds one class, except that the small value classes of one union share a file.
			'max-classes-per-file': 'off',
			'unicorn/no-thenable': 'off',
			// Hot loops use an index where a measurement shows that it is faster.
			'unicorn/no-for-loop': 'off',
			'no-await-in-loop': 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
			'@typescript-eslint/prefer-readonly-parameter-types': 'off',
			'@typescript-eslint/class-literal-property-style': 'off',
			'@typescript-eslint/member-ordering': 'off',
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			'capitalized-comments': 'off',
			'max-params': ['error', 5],
			complexity: ['error', 15],
			// A `default` clause that covers all remaining members of a union is intentional.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			'import-x/extensions': 'off',
			'unicorn/prefer-event-target': 'off',
			'@typescript-eslint/no-unnecessary-condition': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// earl's expectations are plain statements; fast-check's properties return promises, which mocha must receive.
			'@typescript-eslint/no-floating-promises': 'error',
			'max-nested-callbacks': 'off',
			// Mocha passes the context, which snapshots need, as `this`.
			'func-names': 'off',
			// Short listeners append to an array with `push`, whose return value is not used.
			'@typescript-eslint/strict-void-return': 'off',
			'prefer-arrow-callback': 'off',
		},
	},
];

export default xoConfig;
