from benchmarks.scale.cli import main

main()
