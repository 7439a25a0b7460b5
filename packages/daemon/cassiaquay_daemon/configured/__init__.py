"""What is in force: the types of a configuration, and what changed between two.

The platform's folder and the own fleet text are both translated into these types, and
every room reads them. It must not know where a configuration came from, nor who else
has it.
"""
